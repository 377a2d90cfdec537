"""Sends orders to a worker over the platform's HTTP API."""

import msgspec

from pomelostair import codec
from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import ports

# A worker accepts 64 connections. Orders are short, and only one hold at a
# time is a long poll.
MAX_CONNECTIONS = 12
# Orders are answered within a few milliseconds. An unanswered order may still
# be executed seconds later, so a longer timeout would not help.
ORDER_TIMEOUT_S = 0.8
MAX_LISTED_ENDS = 500  # A worker lists at most 500 ends in one answer.

_ENDS_BY_NAME = {
    "done": pipeline.End.DONE,
    "failed": pipeline.End.FAILED,
    "stopped": pipeline.End.STOPPED,
    "lapsed": pipeline.End.LAPSED,
    "broken": pipeline.End.BROKEN,
    "alone": pipeline.End.ALONE,
}


class HoldBody(msgspec.Struct, omit_defaults=True):
    """Extends the lease of all running attempts.

    `untilMs` is a reading of the worker's clock, not a duration. `lastSeen` is
    the number of the last acknowledged end.
    """

    fence: int
    last_seen: int = msgspec.field(name="lastSeen")
    until_ms: int | None = msgspec.field(default=None, name="untilMs")
    wait_ms: int | None = msgspec.field(default=None, name="waitMs")


class StartBody(msgspec.Struct, omit_defaults=True):
    """Starts an attempt; `runId` is its number."""

    task: str
    attempt: int = msgspec.field(name="runId")
    spec: str
    until_ms: int = msgspec.field(name="untilMs")
    fence: int
    checkpoint: str = msgspec.field(default="", name="lastCheckpoint")
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Stops an attempt; `runId` is its number."""

    task: str
    attempt: int = msgspec.field(name="runId")
    fence: int


class PaceBody(msgspec.Struct):
    """Limits the speed of an attempt, in percent of full speed."""

    task: str
    attempt: int = msgspec.field(name="runId")
    percent: int
    fence: int


class RunningRow(msgspec.Struct, array_like=True):
    """A running attempt, an array without field names."""

    task: str
    attempt: codec.Count
    checkpoint: str
    percent: codec.Number
    load: codec.Number = 0


class EndedRow(msgspec.Struct, array_like=True):
    """An ended attempt, an array without field names.

    `number` counts the ends of the worker's incarnation.
    """

    number: codec.Count
    task: str
    attempt: codec.Count
    end: str
    checkpoint: str


class HoldAnswerBody(msgspec.Struct):
    """Answer to a hold."""

    clock_ms: codec.Count = msgspec.field(name="clockMs")
    running: list[RunningRow] = []
    ended: list[EndedRow] = []
    born: codec.Count | None = None


class OrderAnswerBody(msgspec.Struct):
    """Answer to a rejected order."""

    reason: str = ""


class MinionClient(ports.WorkerClient):
    """Client for one incarnation of a worker.

    Args:
        address: Its HTTP address.
        worker: Its id; another worker at the address rejects the orders.
    """

    def __init__(self, address: str, worker: str):
        self._client = httpclient.Client(address, MAX_CONNECTIONS)
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
        """Extends the lease, and lists the running and the ended attempts."""
        body = HoldBody(fence, acknowledged, lease_end_ms, wait_ms or None)
        response = await self._post(
            "/hold", body, ORDER_TIMEOUT_S + wait_ms / 1000
        )
        if not isinstance(response, http.Response):
            return response
        if response.status != 200:
            return _to_denied(response)
        try:
            answer = codec.decode_json(response.body, HoldAnswerBody)
            return _to_hold_answer(answer)
        except (msgspec.MsgspecError, KeyError) as error:
            return ports.NoAnswer(f"unreadable answer to a hold: {error}")

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
        return await self._send_order("/run-start", body)

    async def stop(
        self, order: messages.Order, fence: int
    ) -> ports.OrderOutcome:
        """Stops an attempt, or prevents its start if it has not started."""
        body = StopBody(order.task, order.attempt, fence)
        return await self._send_order("/run-stop", body)

    async def pace(
        self, order: messages.Order, fence: int
    ) -> ports.OrderOutcome:
        """Sets the share of full speed at which an attempt may work."""
        body = PaceBody(order.task, order.attempt, order.percent, fence)
        return await self._send_order("/pace", body)

    async def _send_order(
        self, path: str, body: msgspec.Struct
    ) -> ports.OrderOutcome:
        response = await self._post(path, body, ORDER_TIMEOUT_S)
        if not isinstance(response, http.Response):
            return response
        if response.status == 200:
            return ports.Accepted()
        return _to_denied(response)

    async def _post(
        self, path: str, body: msgspec.Struct, timeout_s: float
    ) -> http.Response | ports.Denied | ports.NoAnswer:
        request = http.Request(
            "POST", path, self._headers, msgspec.json.encode(body)
        )
        try:
            return await self._client.request(request, timeout_s)
        except errors.NoListenerError:
            return ports.Denied(ports.NO_LISTENER)
        except errors.NotSentError as error:
            return ports.Denied(f"not-sent: {error}")
        except errors.AnswerLostError as error:
            return ports.NoAnswer(str(error))


def _to_hold_answer(body: HoldAnswerBody) -> ports.HoldAnswer:
    running = tuple(map(msgspec.structs.astuple, body.running))
    ended = tuple(
        (
            row.number,
            row.task,
            row.attempt,
            _ENDS_BY_NAME[row.end],
            row.checkpoint,
        )
        for row in body.ended
    )
    return ports.HoldAnswer(
        body.clock_ms, body.born, running, ended, len(ended) >= MAX_LISTED_ENDS
    )


def _to_denied(response: http.Response) -> ports.Denied:
    match response.status:
        case 421:
            return ports.Denied("life")
        case 429 | 503:
            return ports.Denied("busy")
        case 400:
            return ports.Denied("malformed")
        case 409:
            try:
                body = codec.decode_json(response.body, OrderAnswerBody)
            except msgspec.MsgspecError:
                return ports.Denied("409")
            return ports.Denied(body.reason or "409")
    return ports.Denied(str(response.status))
