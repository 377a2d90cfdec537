"""Operator commands that plan, order and show stops and sheds."""

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
    """Plans stops and sheds, puts them in force and shows their progress."""

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
        """Orders a stop or shed, or only plans it.

        Args:
            sentence: The command.
            expected: Configuration version that must be in force, None for
                any.
        """
        running_tasks = await self._queries.running_tasks()
        note = ""
        if isinstance(running_tasks, outcome.Refused):
            if sentence.plan:
                return running_tasks
            note = "; the running tasks could not be read, planned without them"
            running_tasks = ()
        match sentence:
            case command.Shed():
                return await self._shed(sentence, running_tasks, expected, note)
        return await self._stop_site(sentence, running_tasks, expected, note)

    async def _stop_site(
        self,
        sentence: command.Stop,
        running_tasks: tuple[stopplan.RunningTask, ...],
        expected: int | None,
        note: str,
    ) -> answers.Answer | outcome.Refused:
        within_s = sentence.within_ms / 1000
        plan = stopplan.plan_stop(within_s, running_tasks)
        rows = [_step_row(stage) for stage in plan.planned_steps]
        summary = f"slack {plan.slack_s:.1f} s of {within_s:.1f} s"
        if plan.slack_s < 0:
            summary += (
                "; the time is short: steps are shortened in proportion, and "
                "what can't checkpoint in time resumes from an older checkpoint"
            )
        if sentence.plan:
            return self._answer(f"planned only; {summary}", rows)
        order = declaration.Stop(
            uuid.uuid4().hex, time.time(), within_s, 0.0, plan.steps
        )
        order = stopplan.preserve_yielded(
            order, self._orders.stop, self._orders.elapsed_s
        )
        return await self._put_in_force(
            order, expected, f"{summary}{note}", rows
        )

    async def _shed(
        self,
        sentence: command.Shed,
        running_tasks: tuple[stopplan.RunningTask, ...],
        expected: int | None,
        note: str,
    ) -> answers.Answer | outcome.Refused:
        share = sentence.percent / 100
        if share == 0:
            return outcome.Refused(
                outcome.Kind.BAD_REQUEST,
                "use stop site within ... to keep nothing",
            )
        workers = await self._queries.rows(command.Show(command.Noun.WORKERS))
        if isinstance(workers, outcome.Refused):
            return workers
        capacity_cores = sum(row["cores"] for row in workers)
        within_s = (sentence.within_ms or 0) / 1000
        order = declaration.Stop(uuid.uuid4().hex, time.time(), within_s, share)
        stop_state = stopplan.StopState(order)
        tasks_to_shed = stopplan.tasks_to_shed(
            stop_state, running_tasks, capacity_cores
        )
        rows = [{"id": task} for task in tasks_to_shed]
        summary = (
            f"{len(rows)} tasks leave so that tasks keep at most "
            f"{share * capacity_cores:g} of {capacity_cores:g} cores"
        )
        if sentence.plan:
            return self._answer(f"planned only; {summary}", rows)
        return await self._put_in_force(
            order, expected, f"{summary}{note}", rows
        )

    async def _put_in_force(
        self,
        order: declaration.Stop,
        expected: int | None,
        summary: str,
        rows: list[queries.Row],
    ) -> answers.Answer | outcome.Refused:
        result = await self._configuration.change(
            edits.stop(order, may_replace=expected is not None), expected
        )
        if isinstance(result, outcome.Refused):
            return result
        version = result.after.version
        return self._answer(f"accepted as version {version}; {summary}", rows)

    async def status(self) -> answers.Answer | outcome.Refused:
        """Returns the progress of the stop or shed in force."""
        stop = self._orders.stop
        if stop is None:
            return self._answer("no stop or shed is in force")
        elapsed_s = self._orders.elapsed_s
        running_tasks = await self._queries.running_tasks()
        if isinstance(running_tasks, outcome.Refused):
            return running_tasks
        remaining_s = max(0.0, stop.within_s - elapsed_s)
        if stop.keep_share > 0:
            text = (
                f"shed to {stop.keep_share:.0%} in force; "
                f"{len(running_tasks)} tasks run"
            )
            return self._answer(text)
        rows = [
            {
                "urgency": step.urgency.name.lower(),
                "survive": step.survive,
                "begins_in_s": round(max(0.0, step.offset_s - elapsed_s), 3),
                "left": sum(
                    (w.urgency, w.survive) == (step.urgency, step.survive)
                    for w in running_tasks
                ),
            }
            for step in stop.steps
        ]
        text = (
            f"stopping; {remaining_s:.1f} s to the deadline, "
            f"{len(running_tasks)} tasks run"
        )
        return self._answer(text, rows)

    def _answer(
        self, message: str, rows: list[queries.Row] | None = None
    ) -> answers.Answer:
        version = self._configuration.in_force.version
        return answers.Answer(message, version, rows or [])


def _step_row(planned: stopplan.PlannedStep) -> queries.Row:
    return {
        "urgency": planned.step.urgency.name.lower(),
        "survive": planned.step.survive,
        "tasks": planned.tasks,
        "begins_s": round(planned.step.offset_s, 3),
        "done_s": round(planned.expected_end_s, 3),
    }
