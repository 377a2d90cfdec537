"""Planned stops and sheds, as operators order and follow them."""

import time
import uuid

from pomelostair import answers
from pomelostair import command
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import edits
from pomelostair import kernel
from pomelostair import outcome
from pomelostair import queries
from pomelostair import settings as settings_module
from pomelostair import siteorders
from pomelostair import stopplan


@kernel.plugin(settings_module.Role.ENTRY)
class Stops(kernel.Plugin):
    """Plans stops and sheds, puts them in force and shows what is left."""

    requires = (
        configuration.Configuration,
        queries.Queries,
        siteorders.SiteOrders,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._queries = host.get(queries.Queries)
        self._orders = host.get(siteorders.SiteOrders)

    async def order(
        self, sentence: command.Stop | command.Shed, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        """Orders or plans a stop or shed.

        Args:
            sentence: What is ordered.
            expected: Version that the order must find, None for any.
        """
        works = await self._queries.placed_works()
        note = ""
        if isinstance(works, outcome.Refused):
            if sentence.plan:
                return works
            note = "; the tasks are not known now, planned without them"
            works = ()
        match sentence:
            case command.Shed():
                return await self._shed(sentence, works, expected, note)
        return await self._stop_site(sentence, works, expected, note)

    async def _stop_site(
        self,
        sentence: command.Stop,
        works: tuple[stopplan.Work, ...],
        expected: int | None,
        note: str,
    ) -> answers.Answer | outcome.Refused:
        within_s = sentence.within_ms / 1000
        plan = stopplan.plan_stop(within_s, works)
        rows = [_stage_row(stage) for stage in plan.stages]
        text = f"slack {plan.slack_s:.1f} s of {within_s:.1f} s"
        if plan.slack_s < 0:
            text += (
                "; the time is short: steps are shortened in proportion, and "
                "what can't checkpoint in time resumes from an older checkpoint"
            )
        if sentence.plan:
            return self._answer(f"planned only; {text}", rows)
        order = declaration.Stop(
            uuid.uuid4().hex, time.time(), within_s, 0.0, plan.steps
        )
        order = stopplan.keep_yielded(
            order, self._orders.stop, self._orders.elapsed_s
        )
        return await self._accept(order, expected, f"{text}{note}", rows)

    async def _shed(
        self,
        sentence: command.Shed,
        works: tuple[stopplan.Work, ...],
        expected: int | None,
        note: str,
    ) -> answers.Answer | outcome.Refused:
        share = sentence.percent / 100
        if share == 0:
            return outcome.Refused(
                outcome.Kind.BAD_REQUEST,
                "write stop site within ... to keep nothing",
            )
        workers = await self._queries.rows(command.Show(command.Noun.WORKERS))
        if isinstance(workers, outcome.Refused):
            return workers
        capacity = sum(row["cores"] for row in workers)
        within_s = (sentence.within_ms or 0) / 1000
        order = declaration.Stop(uuid.uuid4().hex, time.time(), within_s, share)
        standing = stopplan.Standing(order)
        chosen = stopplan.leaving(standing, works, capacity)
        rows = [{"id": task} for task in chosen]
        text = (
            f"{len(rows)} tasks leave so that tasks keep at most "
            f"{share * capacity:g} of {capacity:g} cores"
        )
        if sentence.plan:
            return self._answer(f"planned only; {text}", rows)
        return await self._accept(order, expected, f"{text}{note}", rows)

    async def _accept(
        self,
        order: declaration.Stop,
        expected: int | None,
        text: str,
        rows: list[queries.Row],
    ) -> answers.Answer | outcome.Refused:
        result = await self._configuration.change(
            edits.stop(order, may_replace=expected is not None), expected
        )
        if isinstance(result, outcome.Refused):
            return result
        version = result.after.version
        return self._answer(f"accepted as version {version}; {text}", rows)

    async def status(self) -> answers.Answer | outcome.Refused:
        """Returns what is left of the stop or shed that stands."""
        stop = self._orders.stop
        if stop is None:
            return self._answer("no stop or shed stands")
        elapsed_s = self._orders.elapsed_s
        works = await self._queries.placed_works()
        if isinstance(works, outcome.Refused):
            return works
        left_s = max(0.0, stop.within_s - elapsed_s)
        if stop.keep_share > 0:
            text = f"shed to {stop.keep_share:.0%} stands; {len(works)} run"
            return self._answer(text)
        rows = [
            {
                "urgency": step.urgency.name.lower(),
                "survive": step.survive,
                "begins_in_s": round(max(0.0, step.offset_s - elapsed_s), 3),
                "left": sum(
                    (w.urgency, w.survive) == (step.urgency, step.survive)
                    for w in works
                ),
            }
            for step in stop.steps
        ]
        text = f"stopping; {left_s:.1f} s to the deadline, {len(works)} run"
        return self._answer(text, rows)

    def _answer(
        self, message: str, rows: list[queries.Row] | None = None
    ) -> answers.Answer:
        version = self._configuration.in_force.version
        return answers.Answer(message, version, rows or [])


def _stage_row(stage: stopplan.Stage) -> queries.Row:
    return {
        "urgency": stage.step.urgency.name.lower(),
        "survive": stage.step.survive,
        "tasks": stage.tasks,
        "begins_s": round(stage.step.offset_s, 3),
        "done_s": round(stage.done_s, 3),
    }
