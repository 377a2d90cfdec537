"""Client of a worker: tasks run there under leases in the worker's clock."""

import attrs
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import messages

TIMEOUT_S = 1.0


@attrs.frozen
class WorkerTask:
    """An attempt as its worker shows it.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        state: `running`, or the value of the `TaskEnd` that it reached.
        detail: Reason of its end.
        progress: Share of the work that is done, 0 to 1.
        used: Resources in use, as of some time ago.
        slowdown: Run time over the run time when alone, as of then.
        read_ms: When usage was read, on the worker's clock; None if it was
            not read yet.
        order: What started it.
    """

    task: str
    attempt: int
    state: str
    detail: str
    progress: float
    used: messages.Size
    slowdown: float
    read_ms: float | None
    order: messages.StartOrder


@attrs.frozen
class Status:
    """What a worker runs, and its clock.

    Attributes:
        now_ms: Reading of the worker's clock in milliseconds.
        tasks: Its attempts, ended ones until they are forgotten.
        boot: Id of this start of the worker; a new one forgot all attempts.
    """

    now_ms: float
    tasks: tuple[WorkerTask, ...]
    boot: str


@attrs.frozen
class Start:
    """Start of an attempt; a worker starts whatever it is given.

    Attributes:
        order: What to start.
        progress: Share of the work that a checkpoint already holds.
        expires_ms: End of the lease on the worker's clock.
    """

    order: messages.StartOrder
    progress: float
    expires_ms: float


@attrs.frozen
class Renewal:
    """A new end of an attempt's lease on the worker's clock."""

    task: str
    attempt: int
    expires_ms: float


@attrs.frozen
class Renewals:
    """New ends of several leases."""

    renewals: tuple[Renewal, ...]


@attrs.frozen
class Attempt:
    """Names one attempt."""

    task: str
    attempt: int


@attrs.frozen
class Attempts:
    """Names several attempts."""

    attempts: tuple[Attempt, ...]


@attrs.frozen
class Stop:
    """Ends an attempt, with a note that the worker shows afterwards.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        end: How it counts as ended.
        detail: Shown with it; the key of the checkpoint of an evicted one.
    """

    task: str
    attempt: int
    end: messages.TaskEnd
    detail: str = ""


@attrs.frozen
class Throttle:
    """A new share of full speed for an attempt."""

    task: str
    attempt: int
    share: float


@attrs.frozen
class Checkpoint:
    """Progress of an attempt, as its worker saved it."""

    progress: float


class WorkerClient:
    """Talks to the worker beside an agent.

    Args:
        address: HTTP address of the worker.
    """

    def __init__(self, address: str):
        self._client = httpclient.Client(address, 4)

    async def status(self) -> Status:
        """Returns the worker's clock and attempts.

        Raises:
            PomelostairError: The worker can't be reached.
        """
        return await self._ask("GET", "/status", None, Status)

    async def start(self, start: Start) -> None:
        """Starts an attempt; idempotent by task and attempt."""
        await self._ask("POST", "/start", start, None)

    async def renew(self, renewals: tuple[Renewal, ...]) -> None:
        """Moves the ends of leases."""
        await self._ask("POST", "/renew", Renewals(renewals), None)

    async def checkpoint(self, attempt: Attempt) -> Checkpoint:
        """Pauses an attempt and returns its saved progress."""
        return await self._ask("POST", "/checkpoint", attempt, Checkpoint)

    async def throttle(self, throttle: Throttle) -> None:
        """Changes the speed of an attempt."""
        await self._ask("POST", "/throttle", throttle, None)

    async def stop(self, stop: Stop) -> None:
        """Ends an attempt; one that ended already stays as it is."""
        await self._ask("POST", "/stop", stop, None)

    async def forget(self, attempts: tuple[Attempt, ...]) -> None:
        """Makes the worker forget ended attempts."""
        await self._ask("POST", "/forget", Attempts(attempts), None)

    async def _ask(
        self, method: str, target: str, body: object, answer: type | None
    ):
        data = b"" if body is None else msgspec.json.encode(body)
        request = http.Request(method, target, (), data)
        response = await self._client.request(request, TIMEOUT_S)
        if response.status != 200:
            text = f"worker answered {response.status} to {target}"
            raise errors.AnswerLostError(text)
        if answer is None:
            return None
        try:
            return msgspec.json.decode(response.body, type=answer)
        except msgspec.MsgspecError as error:
            raise errors.AnswerLostError(str(error)) from error
