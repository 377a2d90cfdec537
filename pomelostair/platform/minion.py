"""Orders to a worker over the platform's calls."""

import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import ports

CONNECTIONS = 12  # A worker takes 64; orders are short, one hold waits.
# Orders are answered within a few milliseconds; an order without an answer may
# be carried out seconds later, so that waiting longer does not help.
ORDER_TIMEOUT_S = 0.8
MOST_ENDS = 500  # The worker's own limit of ends in one answer.

_HOWS = {
    "done": pipeline.End.DONE,
    "failed": pipeline.End.FAILED,
    "stopped": pipeline.End.STOPPED,
    "lapsed": pipeline.End.LAPSED,
    "broken": pipeline.End.BROKEN,
    "alone": pipeline.End.ALONE,
}


class HoldBody(msgspec.Struct, omit_defaults=True):
    """Extends the lease of everything that runs.

    `untilMs` is a reading of the worker's own clock, not a duration.
    """

    fence: int
    last_seen: int = msgspec.field(name="lastSeen")
    until_ms: int | None = msgspec.field(default=None, name="untilMs")
    wait_ms: int | None = msgspec.field(default=None, name="waitMs")


class StartBody(msgspec.Struct, omit_defaults=True):
    """Starts a run; `runId` is the number of the attempt."""

    task: str
    attempt: int = msgspec.field(name="runId")
    spec: str
    until_ms: int = msgspec.field(name="untilMs")
    fence: int
    checkpoint: str = msgspec.field(default="", name="lastCheckpoint")
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Stops a run."""

    task: str
    attempt: int = msgspec.field(name="runId")
    fence: int


class PaceBody(msgspec.Struct):
    """Sets the share at which a run may work, in percent."""

    task: str
    attempt: int = msgspec.field(name="runId")
    percent: int
    fence: int


class HeldBody(msgspec.Struct):
    """The worker's lists, as rows without field names."""

    clock_ms: int = msgspec.field(name="clockMs")
    # Task, attempt, checkpoint, percent, load.
    running: list[tuple] = []
    # Number, task, attempt, how it ended, checkpoint.
    ended: list[tuple] = []
    born: int | None = None


class AnswerBody(msgspec.Struct):
    """Answer to an order."""

    reason: str = ""


class MinionClient(ports.WorkerClient):
    """Orders to one life of a worker.

    Args:
        address: Its HTTP address.
        worker: Its id; another worker at the address refuses the orders.
    """

    def __init__(self, address: str, worker: str):
        self._client = httpclient.Client(address, CONNECTIONS)
        self._headers = (
            ("content-type", "application/json"),
            ("x-pomelostair-target-instance", worker),
        )

    async def hold(
        self,
        fence: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> ports.HoldAnswer | ports.Denied | ports.NoAnswer:
        """Extends the lease and lists what runs and has ended."""
        body = HoldBody(fence, acknowledged, lease_end_ms, wait_ms or None)
        response = await self._post(
            "/hold", body, ORDER_TIMEOUT_S + wait_ms / 1000
        )
        if not isinstance(response, http.Response):
            return response
        if response.status != 200:
            return _denied(response)
        try:
            held = msgspec.json.decode(response.body, type=HeldBody)
            return _held(held)
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            return ports.NoAnswer(f"unreadable lists: {error}")

    async def start(
        self, order: messages.Order, lease_end_ms: int, fence: int
    ) -> ports.OrderOutcome:
        """Starts an attempt."""
        body = StartBody(
            order.task,
            order.attempt,
            order.payload,
            lease_end_ms,
            fence,
            order.checkpoint,
            order.ticket,
        )
        return await self._order("/run-start", body)

    async def stop(
        self, order: messages.Order, fence: int
    ) -> ports.OrderOutcome:
        """Stops an attempt, or bars it if it is not there yet."""
        body = StopBody(order.task, order.attempt, fence)
        return await self._order("/run-stop", body)

    async def pace(
        self, order: messages.Order, fence: int
    ) -> ports.OrderOutcome:
        """Sets the share at which an attempt may work."""
        body = PaceBody(order.task, order.attempt, order.percent, fence)
        return await self._order("/pace", body)

    async def _order(
        self, path: str, body: msgspec.Struct
    ) -> ports.OrderOutcome:
        response = await self._post(path, body, ORDER_TIMEOUT_S)
        if not isinstance(response, http.Response):
            return response
        if response.status == 200:
            return ports.Accepted()
        return _denied(response)

    async def _post(
        self, path: str, body: msgspec.Struct, timeout_s: float
    ) -> http.Response | ports.Denied | ports.NoAnswer:
        request = http.Request(
            "POST", path, self._headers, msgspec.json.encode(body)
        )
        try:
            return await self._client.request(request, timeout_s)
        except errors.NotSentError as error:
            return ports.Denied(f"not-sent: {error}")
        except errors.AnswerLostError as error:
            return ports.NoAnswer(str(error))


def _held(body: HeldBody) -> ports.HoldAnswer:
    running = tuple(
        (row[0], row[1], row[2], row[3], row[4] if len(row) > 4 else 0)
        for row in body.running
    )
    ended = tuple(
        (row[0], row[1], row[2], _HOWS[row[3]], row[4]) for row in body.ended
    )
    return ports.HoldAnswer(
        body.clock_ms, body.born, running, ended, len(ended) >= MOST_ENDS
    )


def _denied(response: http.Response) -> ports.Denied:
    match response.status:
        case 421:
            return ports.Denied("life")
        case 429 | 503:
            return ports.Denied("busy")
        case 400:
            return ports.Denied("malformed")
        case 409:
            try:
                body = msgspec.json.decode(response.body, type=AnswerBody)
            except msgspec.MsgspecError:
                return ports.Denied("409")
            return ports.Denied(body.reason or "409")
    return ports.Denied(str(response.status))
