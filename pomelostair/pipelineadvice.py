"""Approvals by a queue's advisor of the workers that may run a stage.

The advisor is slow and accepts one call at a time. It is therefore asked only
for stages with waiting tasks, about workers with room first and about many in
one call. Approvals do not change. Their tickets expire and are requested again
only when needed.

A step is a stage of one occurrence of a pipeline.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import fleet
from pomelostair import pipeline

# Most workers in one call. The platform accepts 100, but its objective allows
# for one call of 30 for each stage, and each worker takes the advisor's time.
MAX_WORKERS_PER_REQUEST = 30
# A ticket counts as expired this long before its end, since the order has to
# reach the worker in time.
TICKET_MARGIN_S = 0.5
MAX_STEPS = 2000  # Steps with verdicts; the oldest ones are dropped.


@attrs.frozen
class AdviceRequest:
    """A call to the advisor.

    Attributes:
        step: Name of the step, "PIPELINE.OCCURRENCE.STAGE".
        workers: Ids and incarnations of the workers asked about.
        valid_s: How long the tickets in the answer are valid.
    """

    step: str
    workers: tuple[fleet.WorkerKey, ...]
    valid_s: float


class Verdict(enum.Enum):
    """Decision of the advisor on a step and a worker."""

    UNKNOWN = "unknown"
    APPROVED = "approved"
    REJECTED = "rejected"


@attrs.define
class _Ticket:
    """Ticket for a step on one incarnation of a worker.

    Attributes:
        text: Text that the worker checks.
        valid_until_s: Monotonic seconds at which it expires.
    """

    text: str
    valid_until_s: float


class Advice:
    """Verdicts, tickets and pending requests of one term of a leader."""

    def __init__(self):
        self._verdicts: dict[str, dict[str, Verdict]] = {}
        self._tickets: dict[tuple[str, fleet.WorkerKey], _Ticket] = {}
        self._pending: dict[str, AdviceRequest] = {}

    def ticket(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> str | None:
        """Returns the valid ticket of a task on a worker, None without one.

        Args:
            task: The task.
            worker: The worker.
            now: Monotonic seconds.
        """
        ticket = self._tickets.get(
            (step_name(task), (worker.id, worker.incarnation))
        )
        if ticket is None or ticket.valid_until_s <= now:
            return None
        return ticket.text

    def permits(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> bool:
        """Returns whether a task may start on a worker without a request.

        A step without verdicts, such as one of a queue without an advisor,
        needs no ticket.
        """
        if step_name(task) not in self._verdicts:
            return True
        return self.ticket(task, worker, now) is not None

    def add_request(
        self,
        task: pipeline.Task,
        workers: Iterable[fleet.Worker],
        valid_s: float,
        now: float,
    ) -> None:
        """Queues a request for tickets of a task.

        Workers that were rejected, or that have a valid ticket, are left out.
        A pending request for the same step is replaced.

        Args:
            task: A task that waits for a ticket on any of the workers.
            workers: Workers with room for it, the best first.
            valid_s: How long tickets are valid.
            now: Monotonic seconds.
        """
        step = step_name(task)
        verdicts = self._verdicts.get(step, {})
        worker_keys = [
            (worker.id, worker.incarnation)
            for worker in workers
            if verdicts.get(worker.id) is not Verdict.REJECTED
            and self.ticket(task, worker, now) is None
        ]
        # Approved workers go first: they are certain to get a new ticket.
        worker_keys.sort(key=lambda worker_key: worker_key[0] not in verdicts)
        if worker_keys:
            self._pending[step] = AdviceRequest(
                step, tuple(worker_keys[:MAX_WORKERS_PER_REQUEST]), valid_s
            )

    def next_request(self) -> AdviceRequest | None:
        """Removes and returns the next pending request, None without one."""
        if not self._pending:
            return None
        return self._pending.pop(next(iter(self._pending)))

    def apply_answer(
        self, request: AdviceRequest, tickets: dict[str, str], asked_s: float
    ) -> None:
        """Stores the verdicts and tickets of an answer.

        Args:
            request: The request that was answered.
            tickets: Tickets by the ids of the approved workers.
            asked_s: Monotonic seconds at which the call began.
        """
        while len(self._verdicts) >= MAX_STEPS:
            self._drop_step(next(iter(self._verdicts)))
        verdicts = self._verdicts.setdefault(request.step, {})
        for worker_key in request.workers:
            text = tickets.get(worker_key[0])
            if text is None:
                verdicts[worker_key[0]] = Verdict.REJECTED
                continue
            verdicts[worker_key[0]] = Verdict.APPROVED
            valid_until_s = asked_s + request.valid_s - TICKET_MARGIN_S
            self._tickets[request.step, worker_key] = _Ticket(
                text, valid_until_s
            )

    def discard_ticket(self, task: pipeline.Task, worker: fleet.Worker) -> None:
        """Drops a ticket that a worker refused."""
        self._tickets.pop(
            (step_name(task), (worker.id, worker.incarnation)), None
        )

    def forget(self, pipeline_id: str) -> None:
        """Drops everything about a pipeline."""
        prefix = f"{pipeline_id}."
        for step in [s for s in self._verdicts if s.startswith(prefix)]:
            self._drop_step(step)
        for step in [s for s in self._pending if s.startswith(prefix)]:
            del self._pending[step]

    def _drop_step(self, step: str) -> None:
        self._verdicts.pop(step, None)
        for key in [k for k in self._tickets if k[0] == step]:
            del self._tickets[key]


def step_name(task: pipeline.Task) -> str:
    """Returns the name of the step of a task."""
    return f"{task.pipeline.id}.{task.occurrence}.{task.stage_number}"
