"""Client of the platform's service that approves workers for a stage."""

import msgspec

from pomelostair import codec
from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from pomelostair import ports

MAX_CONNECTIONS = 1  # The service handles the calls of a host one by one.


class AdviceRequestBody(msgspec.Struct):
    """Requests tickets for a stage."""

    step: str
    workers: list[str]


class AdviceAnswerBody(msgspec.Struct):
    """The approved workers, as arrays of worker id and ticket."""

    approved: list[tuple[str, str]] = []


class AdviceClient(ports.Advisor):
    """Client of the advisor at one address.

    Args:
        address: HTTP address of the advisor.
    """

    def __init__(self, address: str):
        self._client = httpclient.Client(address, MAX_CONNECTIONS)

    async def advise(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> ports.Advised | ports.Denied | ports.NoAnswer:
        """Requests tickets for the workers that may run a stage."""
        request = http.Request(
            "POST",
            "/advise",
            (("content-type", "application/json"),),
            msgspec.json.encode(AdviceRequestBody(step, list(workers))),
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
            body = codec.decode_json(response.body, AdviceAnswerBody)
        except msgspec.MsgspecError as error:
            return ports.NoAnswer(f"unreadable advice: {error}")
        return ports.Advised(dict(body.approved))
