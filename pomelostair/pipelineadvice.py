"""Which workers a queue's policy lets run a stage, as its advisor told.

Answers the pattern of a slow advisor that takes one call at a time: only what
waits is asked about, workers with room first, many in one call. Approvals do
not change; their tickets run out and are asked for again only when needed.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import fleet
from pomelostair import pipeline

# Workers named in one call. The platform takes 100; its objective counts one
# call of 30 for each stage, and each one named takes the advisor's time.
MOST_NAMED = 30
# Seconds before its end at which a ticket counts as run out: the order has to
# reach the worker.
TICKET_MARGIN_S = 0.5
MAX_STAGES = 2000


@attrs.frozen
class Question:
    """A call to the advisor.

    Attributes:
        step: Stage of one occurrence, as "PIPELINE.OCCURRENCE.STAGE".
        workers: Ids and lives of the workers that are asked about.
        valid_s: How long the tickets in its answer are valid.
    """

    step: str
    workers: tuple[fleet.WorkerKey, ...]
    valid_s: float


class Verdict(enum.Enum):
    """What is known of a stage on a worker."""

    UNKNOWN = "unknown"
    APPROVED = "approved"
    REJECTED = "rejected"


@attrs.define
class _Ticket:
    """Ticket for one life of a worker, valid until some monotonic seconds."""

    text: str
    until: float


class Advice:
    """Approvals and tickets of one term of a leader."""

    def __init__(self):
        self._verdicts: dict[str, dict[str, Verdict]] = {}
        self._tickets: dict[tuple[str, fleet.WorkerKey], _Ticket] = {}
        self._wanted: dict[str, Question] = {}

    def ticket(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> str | None:
        """Returns a valid ticket of a task on a worker, None if there is none.

        Args:
            task: The task.
            worker: The worker.
            now: Monotonic seconds.
        """
        held = self._tickets.get(
            (step_of(task), (worker.id, worker.incarnation))
        )
        if held is None or held.until <= now:
            return None
        return held.text

    def permits(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> bool:
        """Returns whether a task may go to a worker without asking."""
        if step_of(task) not in self._verdicts:
            return True
        return self.ticket(task, worker, now) is not None

    def want(
        self,
        task: pipeline.Task,
        workers: Iterable[fleet.Worker],
        valid_s: float,
        now: float,
    ) -> None:
        """Notes that a task waits for a ticket on any of some workers.

        Args:
            task: The task.
            workers: Workers with room for it, the best first.
            valid_s: How long tickets are valid.
            now: Monotonic seconds.
        """
        step = step_of(task)
        verdicts = self._verdicts.get(step, {})
        named = [
            (worker.id, worker.incarnation)
            for worker in workers
            if verdicts.get(worker.id) is not Verdict.REJECTED
            and self.ticket(task, worker, now) is None
        ]
        # Approved ones need a new ticket only, and are certain to get it.
        named.sort(key=lambda life: life[0] not in verdicts)
        if named:
            self._wanted[step] = Question(
                step, tuple(named[:MOST_NAMED]), valid_s
            )

    def next_question(self) -> Question | None:
        """Returns the next call to make, None if nothing is wanted."""
        if not self._wanted:
            return None
        return self._wanted.pop(next(iter(self._wanted)))

    def answer(
        self, question: Question, tickets: dict[str, str], asked: float
    ) -> None:
        """Takes in an answer.

        Args:
            question: The call.
            tickets: Tickets by the ids of the approved workers.
            asked: Monotonic seconds at which the call was begun.
        """
        while len(self._verdicts) >= MAX_STAGES:
            self._drop(next(iter(self._verdicts)))
        verdicts = self._verdicts.setdefault(question.step, {})
        for life in question.workers:
            text = tickets.get(life[0])
            if text is None:
                verdicts[life[0]] = Verdict.REJECTED
                continue
            verdicts[life[0]] = Verdict.APPROVED
            until = asked + question.valid_s - TICKET_MARGIN_S
            self._tickets[question.step, life] = _Ticket(text, until)

    def refused(self, task: pipeline.Task, worker: fleet.Worker) -> None:
        """Notes that a worker did not take a ticket."""
        self._tickets.pop(
            (step_of(task), (worker.id, worker.incarnation)), None
        )

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline."""
        prefix = f"{pipeline_id}."
        for step in [s for s in self._verdicts if s.startswith(prefix)]:
            self._drop(step)
        for step in [s for s in self._wanted if s.startswith(prefix)]:
            del self._wanted[step]

    def _drop(self, step: str) -> None:
        self._verdicts.pop(step, None)
        for key in [k for k in self._tickets if k[0] == step]:
            del self._tickets[key]


def step_of(task: pipeline.Task) -> str:
    """Returns the name of a task's stage in its occurrence."""
    return f"{task.pipeline.id}.{task.occurrence}.{task.stage_number}"
