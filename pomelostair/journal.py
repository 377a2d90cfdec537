"""Events that wait for their commit, with the callers that wait for it."""

from collections.abc import Callable

import attrs

from pomelostair import cell as cell_module
from pomelostair import messages
from pomelostair import wire


@attrs.frozen(eq=False)
class Waiter:
    """A caller that waits for a commit.

    Attributes:
        envelope: Its call.
        answer: Makes the answer from the state after the commit.
    """

    envelope: wire.Envelope
    answer: Callable[[], object]


class Journal:
    """Collects events for the next commit; equal events are logged once."""

    def __init__(self):
        self._pending: dict[cell_module.Event, list[Waiter]] = {}
        self._sent: dict[cell_module.Event, list[Waiter]] = {}
        self._specs: dict[str, messages.JobSpec] = {}
        self._lapsing: set[str] = set()

    @property
    def events(self) -> tuple[cell_module.Event, ...]:
        """All events that are not committed yet, in order."""
        return (*self._sent, *self._pending)

    @property
    def sent(self) -> tuple[cell_module.Event, ...]:
        """The events of the commit that is on its way."""
        return tuple(self._sent)

    @property
    def empty(self) -> bool:
        """Whether no event waits to be sent."""
        return not self._pending

    @property
    def lapsing(self) -> set[str]:
        """Ids of the tasks whose lapsed attempt is being logged."""
        return self._lapsing

    def submitted(self, job_id: str) -> messages.JobSpec | None:
        """Returns a job whose submission is not committed yet."""
        return self._specs.get(job_id)

    def add(
        self, event: cell_module.Event, waiter: Waiter | None = None
    ) -> None:
        """Adds an event, or one more caller that waits for the same one."""
        group = self._sent if event in self._sent else self._pending
        waiters = group.setdefault(event, [])
        if waiter is not None:
            waiters.append(waiter)
        self._note(event)

    def take(self, limit: int) -> tuple[cell_module.Event, ...]:
        """Returns the oldest events for one commit.

        Args:
            limit: Most events to return.
        """
        for event in list(self._pending)[:limit]:
            self._sent[event] = self._pending.pop(event)
        return tuple(self._sent)

    def finish(self) -> list[Waiter]:
        """Ends a commit whose events took effect.

        Returns:
            The callers to answer.
        """
        return self._clear_sent()

    def withdraw(self) -> list[Waiter]:
        """Ends a commit that had no effect.

        Ends of attempts that nobody waits for are tried again, ahead of the
        other events. Everything else is dropped: callers repeat their
        requests, and placements are decided anew.

        Returns:
            The callers to refuse.
        """
        again = {
            event: []
            for event, waiters in self._sent.items()
            if isinstance(event, cell_module.TaskEnded) and not waiters
        }
        dropped = self._clear_sent()
        self._pending = again | self._pending
        for event in again:
            self._note(event)
        return dropped

    def abandon(self) -> list[Waiter]:
        """Drops the events that were never sent.

        Returns:
            The callers to refuse.
        """
        waiters = [w for group in self._pending.values() for w in group]
        for event in self._pending:
            self._forget(event)
        self._pending = {}
        return waiters

    def _clear_sent(self) -> list[Waiter]:
        waiters = [w for group in self._sent.values() for w in group]
        for event in self._sent:
            self._forget(event)
        self._sent = {}
        return waiters

    def _note(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.JobSubmitted(spec=spec):
                self._specs[spec.id] = spec
            case cell_module.TaskEnded(end=messages.TaskEnd.LAPSED):
                self._lapsing.add(event.task)

    def _forget(self, event: cell_module.Event) -> None:
        match event:
            case cell_module.JobSubmitted(spec=spec):
                self._specs.pop(spec.id, None)
            case cell_module.TaskEnded():
                self._lapsing.discard(event.task)
