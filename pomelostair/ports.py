"""Interfaces through which the pipeline plug-ins use the platform.

An adapter implements them for one platform; tests implement them in memory.
"""

import abc

import attrs

from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from pomelostair import resources


@attrs.frozen
class WorkerHeartbeat:
    """A heartbeat of a worker, decoded by the adapter.

    Attributes:
        worker: Its id.
        incarnation: Unix milliseconds of its start.
        address: HTTP address at which it accepts orders.
        service: Service that it belongs to.
        zone: Its availability zone.
        rack: Its rack, empty for none.
        labels: Its labels.
        capacity: Its total resources.
        draining: Whether it is about to shut down.
        remaining_ms: Least time until a draining worker shuts down.
        clock_ms: Reading of its monotonic clock.
        sequence: Number of the heartbeat; increases within an incarnation.
        cold_left_ms: How much longer the worker stays slow after its start.
    """

    worker: str
    incarnation: int
    address: str
    service: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: resources.Resources
    draining: bool
    remaining_ms: int
    clock_ms: int
    sequence: int
    cold_left_ms: int = 0


@attrs.frozen
class HoldAnswer:
    """A worker's answer to a hold: its lease was extended as requested.

    Attributes:
        clock_ms: Reading of its monotonic clock.
        incarnation: Unix milliseconds of its start, None if the answer lacks
            it.
        running: Running attempts.
        ended: Ends that the worker has not been allowed to forget yet.
        more_ended: Whether it has further ends that are not listed.
    """

    clock_ms: int
    incarnation: int | None
    running: tuple[messages.RunningRow, ...]
    ended: tuple[tuple[int, str, int, pipeline.End, str], ...]
    more_ended: bool


@attrs.frozen
class Accepted:
    """The worker executed the order."""


# Reason of a call that was not sent, as no process listens at the address.
NO_LISTENER = "no-listener"


@attrs.frozen
class Denied:
    """A call was rejected or never sent; it certainly had no effect.

    Attributes:
        reason: "fence" if the fencing token is too low, "old" if the attempt
            is, "late" if the lease end has passed, "life" if another
            incarnation answers at the address, `NO_LISTENER`, "not-sent" with
            details; else "room", "ticket", "busy", "malformed" or the HTTP
            status.
    """

    reason: str

    @property
    def is_answer(self) -> bool:
        """Whether the call was rejected by an answer, and not just unsent."""
        return not self.reason.startswith(("not-sent", NO_LISTENER))


@attrs.frozen
class NoAnswer:
    """A call without a usable answer; it may have, or still take, effect."""

    reason: str


OrderOutcome = Accepted | Denied | NoAnswer


class WorkerClient(abc.ABC):
    """Client for one incarnation of a worker."""

    @abc.abstractmethod
    async def hold(
        self,
        fence: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> HoldAnswer | Denied | NoAnswer:
        """Extends the lease, and lists the running and the ended attempts.

        The call is a long poll: it answers at once if an end is listed.

        Args:
            fence: Fencing token; one lower than seen before is denied.
            acknowledged: Number of the last end that the worker may forget.
            lease_end_ms: Reading of the worker's clock at which the lease
                ends, None to leave it unchanged.
            wait_ms: Longest wait for an attempt to end.
        """

    @abc.abstractmethod
    async def start(
        self, order: messages.Order, lease_end_ms: int, fence: int
    ) -> OrderOutcome:
        """Starts an attempt."""

    @abc.abstractmethod
    async def stop(self, order: messages.Order, fence: int) -> OrderOutcome:
        """Stops an attempt, or prevents its start if it has not started."""

    @abc.abstractmethod
    async def pace(self, order: messages.Order, fence: int) -> OrderOutcome:
        """Sets the share of full speed at which an attempt may work."""


@attrs.frozen
class Advised:
    """An advisor's answer.

    Attributes:
        tickets: Tickets by worker id; workers without one are not approved.
    """

    tickets: dict[str, str]


class Advisor(abc.ABC):
    """Client of the service that approves workers for a stage."""

    @abc.abstractmethod
    async def advise(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advised | Denied | NoAnswer:
        """Requests tickets for the workers that may run a stage.

        Args:
            step: The stage, as "PIPELINE.OCCURRENCE.STAGE".
            workers: Ids of the candidate workers.
            timeout_s: Longest wait for the answer.
        """


class Port(abc.ABC):
    """Access to the platform for the pipeline plug-ins."""

    @property
    @abc.abstractmethod
    def queues_table(self) -> str:
        """Table of the store that holds the queue configuration."""

    @property
    @abc.abstractmethod
    def queues_key(self) -> str:
        """Key of the row that holds the queue configuration."""

    @abc.abstractmethod
    def decode_queues(self, document: bytes) -> queues.QueueTable:
        """Decodes a queue configuration.

        Raises:
            MessageError: The document is not a valid configuration.
        """

    @property
    @abc.abstractmethod
    def evacuations_table(self) -> str:
        """Table of the store that holds the operator's evacuations."""

    @property
    @abc.abstractmethod
    def evacuations_prefix(self) -> str:
        """Prefix of the keys of the rows that name zones to be evacuated."""

    @abc.abstractmethod
    def decode_evacuated_zone(self, key: str) -> str:
        """Returns the zone that a row names by its key, empty for none."""

    @abc.abstractmethod
    def worker_client(self, heartbeat: WorkerHeartbeat) -> WorkerClient:
        """Returns a client for the incarnation that sent a heartbeat."""

    @abc.abstractmethod
    def advisor(self, address: str) -> Advisor:
        """Returns a client for the advisor at an HTTP address."""
