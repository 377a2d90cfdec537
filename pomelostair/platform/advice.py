"""Calls to the platform's service that tells which workers may run a stage."""

import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import ports

CONNECTIONS = 1  # The service takes the calls of one host in turn.


class AdviseBody(msgspec.Struct):
    """Asks about a stage."""

    step: str
    workers: list[str]


class ApprovedBody(msgspec.Struct):
    """The workers that may run it, as rows of id and ticket."""

    approved: list[tuple[str, str]] = []


class AdviceClient(ports.Advisor):
    """The service at one address.

    Args:
        address: Its HTTP address.
    """

    def __init__(self, address: str):
        self._client = httpclient.Client(address, CONNECTIONS)

    async def advise(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> ports.Advised | ports.Denied | ports.NoAnswer:
        """Asks which of some workers may run a stage."""
        request = http.Request(
            "POST",
            "/advise",
            (("content-type", "application/json"),),
            msgspec.json.encode(AdviseBody(step, list(workers))),
        )
        try:
            response = await self._client.request(request, timeout_s)
        except errors.NotSentError as error:
            return ports.Denied(f"not-sent: {error}")
        except errors.AnswerLostError as error:
            return ports.NoAnswer(str(error))
        if response.status != 200:
            return ports.Denied(str(response.status))
        try:
            body = msgspec.json.decode(response.body, type=ApprovedBody)
        except msgspec.MsgspecError as error:
            return ports.NoAnswer(f"unreadable advice: {error}")
        return ports.Advised(dict(body.approved))
