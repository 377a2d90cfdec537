"""What the pipelines need from the platform they run on.

An adapter implements these for one platform; tests implement them in memory.
"""

import abc

import attrs

from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from pomelostair import resources


@attrs.frozen
class WorkerHeartbeat:
    """What a worker says of itself.

    Attributes:
        worker: Its id.
        life: Unix milliseconds of its start.
        address: HTTP address at which it takes orders.
        service: Service that it belongs to.
        zone: Its availability zone.
        rack: Its rack, empty for none.
        labels: Its labels.
        capacity: What it has.
        draining: Whether it is going to leave.
        remaining_ms: Time that is left to a draining worker at least.
        clock_ms: Its steady clock.
        sequence: Grows with each notice of this life.
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


@attrs.frozen
class HoldAnswer:
    """A worker extended its lease and listed what it has.

    Attributes:
        clock_ms: Its steady clock.
        life: Unix milliseconds of its start, None if it does not tell.
        running: Attempts that run.
        ended: Ends that are not forgotten.
        more_ended: Whether further ends are to be listed.
    """

    clock_ms: int
    incarnation: int | None
    running: tuple[messages.RunningRow, ...]
    ended: tuple[tuple[int, str, int, pipeline.End, str], ...]
    more_ended: bool


@attrs.frozen
class Accepted:
    """A worker has carried out an order."""


@attrs.frozen
class Denied:
    """A worker has certainly not carried out an order.

    Attributes:
        reason: "fence", "old", "late", "room", "ticket", "busy", "life",
            "malformed", "not-sent" or the status of its answer.
    """

    reason: str


@attrs.frozen
class NoAnswer:
    """An order may have been, or may still be, carried out."""

    reason: str


OrderOutcome = Accepted | Denied | NoAnswer


class WorkerClient(abc.ABC):
    """Orders to one life of a worker."""

    @abc.abstractmethod
    async def hold(
        self,
        fence: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> HoldAnswer | Denied | NoAnswer:
        """Extends the lease and lists what runs and has ended.

        Args:
            fence: Fencing token; a lower one than seen before is denied.
            acknowledged: Number of the last end that the worker may forget.
            lease_end_ms: The worker's clock at which the lease ends, None to
                leave it.
            wait_ms: Longest wait for an end.
        """

    @abc.abstractmethod
    async def start(
        self, order: messages.Order, lease_end_ms: int, fence: int
    ) -> OrderOutcome:
        """Starts an attempt."""

    @abc.abstractmethod
    async def stop(self, order: messages.Order, fence: int) -> OrderOutcome:
        """Stops an attempt, or bars it if it is not there yet."""

    @abc.abstractmethod
    async def pace(self, order: messages.Order, fence: int) -> OrderOutcome:
        """Sets the share at which an attempt may work."""


@attrs.frozen
class Advised:
    """An advisor has answered.

    Attributes:
        tickets: Tickets by the ids of the approved workers.
    """

    tickets: dict[str, str]


class Advisor(abc.ABC):
    """Tells which workers may run a stage."""

    @abc.abstractmethod
    async def advise(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advised | Denied | NoAnswer:
        """Asks which of some workers may run a stage.

        Args:
            step: The stage, as "PIPELINE.OCCURRENCE.STAGE".
            workers: Ids of the workers.
            timeout_s: Longest wait for the answer.
        """


class Port(abc.ABC):
    """The platform, as the plug-ins of the pipelines see it."""

    @property
    @abc.abstractmethod
    def queues_table(self) -> str:
        """Table of the store that holds the operator's configuration."""

    @property
    @abc.abstractmethod
    def queues_key(self) -> str:
        """Key of the row of that configuration."""

    @abc.abstractmethod
    def decode_queues(self, document: bytes) -> queues.QueueTable:
        """Decodes a configuration.

        Raises:
            MessageError: The document is no configuration.
        """

    @abc.abstractmethod
    def worker_client(self, heartbeat: WorkerHeartbeat) -> WorkerClient:
        """Returns the client of one life of a worker."""

    @abc.abstractmethod
    def advisor(self, address: str) -> Advisor:
        """Returns the advisor at an HTTP address."""
