"""Events that are not committed yet, and the callers that wait for them.

An event is pending until `start_commit` puts it in flight; one commit is in
flight at a time.
"""

from collections.abc import Callable

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages
from pomelostair import wire


@attrs.frozen(eq=False)
class Waiter:
    """A caller that waits for a commit.

    Attributes:
        envelope: Envelope of its call.
        make_answer: Returns the answer from the state after the commit.
    """

    envelope: wire.Envelope
    make_answer: Callable[[], object]


class CommitBuffer:
    """Collects events for the next commit and merges equal ones."""

    def __init__(self):
        self._pending: dict[cell_module.Event, list[Waiter]] = {}
        self._in_flight: dict[cell_module.Event, list[Waiter]] = {}
        self._submitted_specs: dict[str, messages.JobSpec] = {}
        self._lapsing_tasks: set[str] = set()

    @property
    def uncommitted(self) -> tuple[cell_module.Event, ...]:
        """All events that are not committed yet, in their order."""
        return (*self._in_flight, *self._pending)

    @property
    def in_flight(self) -> tuple[cell_module.Event, ...]:
        """The events of the commit in flight."""
        return tuple(self._in_flight)

    @property
    def none_pending(self) -> bool:
        """Whether no event waits for the next commit."""
        return not self._pending

    @property
    def lapsing_tasks(self) -> set[str]:
        """Ids of tasks whose attempt lapsed, until that is committed."""
        return self._lapsing_tasks

    def submitted_spec(self, job_id: str) -> messages.JobSpec | None:
        """Returns the job if its submission is not committed yet."""
        return self._submitted_specs.get(job_id)

    def add(
        self, event: cell_module.Event, waiter: Waiter | None = None
    ) -> None:
        """Adds an event, or another waiter for an equal uncommitted event."""
        group = self._in_flight if event in self._in_flight else self._pending
        waiters = group.setdefault(event, [])
        if waiter is not None:
            waiters.append(waiter)
        self._index(event)

    def start_commit(self, limit: int) -> tuple[cell_module.Event, ...]:
        """Puts the oldest pending events in flight and returns them.

        Args:
            limit: Maximum number of events.
        """
        for event in list(self._pending)[:limit]:
            self._in_flight[event] = self._pending.pop(event)
        return tuple(self._in_flight)

    def commit_succeeded(self) -> list[Waiter]:
        """Ends a commit that took effect.

        Returns:
            The callers to answer.
        """
        return self._clear_in_flight()

    def commit_failed(self) -> list[Waiter]:
        """Ends a commit that failed or whose outcome is unknown.

        Ends of attempts without waiters are pending again, ahead of the other
        events. All other events are dropped: callers repeat their requests,
        and the scheduler decides on placements again.

        Returns:
            The callers to refuse.
        """
        retried = {
            event: []
            for event, waiters in self._in_flight.items()
            if isinstance(event, cell_module.TaskEnded) and not waiters
        }
        waiters_to_refuse = self._clear_in_flight()
        self._pending = retried | self._pending
        for event in retried:
            self._index(event)
        return waiters_to_refuse

    def drop_pending(self) -> list[Waiter]:
        """Drops the pending events, which were never sent.

        Returns:
            The callers to refuse.
        """
        waiters = [w for group in self._pending.values() for w in group]
        for event in self._pending:
            self._unindex(event)
        self._pending = {}
        return waiters

    def _clear_in_flight(self) -> list[Waiter]:
        waiters = [w for group in self._in_flight.values() for w in group]
        for event in self._in_flight:
            self._unindex(event)
        self._in_flight = {}
        return waiters

    def _index(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.JobSubmitted(spec=spec):
                self._submitted_specs[spec.id] = spec
            case cell_module.TaskEnded(end=messages.TaskEnd.LAPSED):
                self._lapsing_tasks.add(event.task)

    def _unindex(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.JobSubmitted(spec=spec):
                self._submitted_specs.pop(spec.id, None)
            case cell_module.TaskEnded():
                self._lapsing_tasks.discard(event.task)
