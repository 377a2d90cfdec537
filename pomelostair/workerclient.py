"""HTTP client of a worker.

The worker runs attempts under leases whose ends are readings of its own clock.
"""

import attrs
import msgspec

from pomelostair import codec
from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import messages

REQUEST_TIMEOUT_S = 1.0


@attrs.frozen
class WorkerTask:
    """An attempt as its worker reports it.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        state: `running`, or the value of the `TaskEnd` once it has ended.
        detail: Reason of its end.
        progress: Completed share of the work, 0 to 1.
        used: Resources in use, as of `read_ms`.
        slowdown: Run time divided by the run time without other tasks, as of
            `read_ms`.
        read_ms: Reading of the worker's clock when the usage was sampled;
            None if it has not been sampled yet.
        order: Order that started it.
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
    """The attempts and the clock of a worker.

    Attributes:
        now_ms: Reading of the worker's clock in milliseconds.
        tasks: Its attempts; ended ones are listed until `forget`.
        boot: Id of the start of the worker process. A restarted worker has a
            new id and no attempts.
    """

    now_ms: float
    tasks: tuple[WorkerTask, ...]
    boot: str


@attrs.frozen
class Start:
    """Starts an attempt; the worker starts every attempt without checks.

    Attributes:
        order: What to start.
        progress: Share of the work that the checkpoint contains.
        expires_ms: End of the lease on the worker's clock.
    """

    order: messages.StartOrder
    progress: float
    expires_ms: float


@attrs.frozen
class Renewal:
    """Extends the lease of an attempt to a reading of the worker's clock."""

    task: str
    attempt: int
    expires_ms: float


@attrs.frozen
class Renewals:
    """Extends several leases."""

    renewals: tuple[Renewal, ...]


@attrs.frozen
class Attempt:
    """Identifies an attempt."""

    task: str
    attempt: int


@attrs.frozen
class Attempts:
    """Identifies several attempts."""

    attempts: tuple[Attempt, ...]


@attrs.frozen
class Stop:
    """Ends an attempt.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        end: How the end is reported.
        detail: Text that is reported with the end; the key of the checkpoint
            if the attempt is evicted.
    """

    task: str
    attempt: int
    end: messages.TaskEnd
    detail: str = ""


@attrs.frozen
class Throttle:
    """Limits an attempt to a share of full speed."""

    task: str
    attempt: int
    share: float


@attrs.frozen
class Checkpoint:
    """Progress of an attempt that its worker has saved."""

    progress: float


class WorkerClient:
    """Client for the worker on the agent's host.

    Args:
        address: HTTP address of the worker.
    """

    def __init__(self, address: str):
        self._client = httpclient.Client(address, 4)

    async def status(self) -> Status:
        """Returns the worker's clock and attempts.

        Raises:
            PomelostairError: The worker is unreachable or its answer is
                unusable.
        """
        return await self._call("GET", "/status", None, Status)

    async def start(self, start: Start) -> None:
        """Starts an attempt; idempotent by task and attempt."""
        await self._call("POST", "/start", start, None)

    async def renew(self, renewals: tuple[Renewal, ...]) -> None:
        """Extends leases."""
        await self._call("POST", "/renew", Renewals(renewals), None)

    async def checkpoint(self, attempt: Attempt) -> Checkpoint:
        """Pauses an attempt and returns its saved progress."""
        return await self._call("POST", "/checkpoint", attempt, Checkpoint)

    async def throttle(self, throttle: Throttle) -> None:
        """Changes the speed of an attempt."""
        await self._call("POST", "/throttle", throttle, None)

    async def stop(self, stop: Stop) -> None:
        """Ends an attempt; no effect if it has already ended."""
        await self._call("POST", "/stop", stop, None)

    async def forget(self, attempts: tuple[Attempt, ...]) -> None:
        """Removes ended attempts from the worker's list."""
        await self._call("POST", "/forget", Attempts(attempts), None)

    async def _call(
        self, method: str, target: str, body: object, answer_type: type | None
    ):
        data = b"" if body is None else msgspec.json.encode(body)
        request = http.Request(method, target, (), data)
        response = await self._client.request(request, REQUEST_TIMEOUT_S)
        if response.status != 200:
            message = f"worker answered {response.status} to {target}"
            raise errors.AnswerLostError(message)
        if answer_type is None:
            return None
        try:
            return codec.decode_json(response.body, answer_type)
        except msgspec.MsgspecError as error:
            raise errors.AnswerLostError(str(error)) from error
