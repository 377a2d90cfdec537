"""Common parts of the HTTP stand-ins: server, faults and command line.

`POST /faults` with a JSON object of `Faults` replaces the faults of a stand-in;
`GET /faults` returns them.
"""

import abc
import argparse

import attrs
import curio
import msgspec

from pomelostair import errors
from pomelostair import http
from pomelostair import httpserver


@attrs.frozen
class Faults:
    """Faults that a stand-in injects.

    Attributes:
        down: Reject every operation with status 503 without applying it.
        slow_ms: Delay before each operation is applied, in milliseconds.
        lose_answers: Apply writes, then close the connection without a
            response.
        late_write_ms: Close the connection without a response, and apply the
            write after this delay in milliseconds; 0 disables the fault.
        paused: Suspend every operation until the fault is removed.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: bool = False
    late_write_ms: float = 0.0
    paused: bool = False


class Service(abc.ABC):
    """A stand-in that answers HTTP requests."""

    def __init__(self):
        self._faults = Faults()
        self._resumed = curio.Event()

    @property
    def faults(self) -> Faults:
        """The current faults."""
        return self._faults

    async def answer(
        self, request: http.Request
    ) -> http.Response | http.NoResponse:
        """Answers one request, subject to the current faults."""
        if request.target == "/faults":
            return await self._handle_faults(request)
        while self._faults.paused:
            await self._resumed.wait()
        faults = self._faults
        if faults.slow_ms:
            await curio.sleep(faults.slow_ms / 1000)
        if faults.down:
            return http.json_response(503, {"error": "down"})
        if faults.late_write_ms and request.method != "GET":
            await curio.spawn(
                self._apply_late, request, faults.late_write_ms, daemon=True
            )
            return http.NoResponse()
        response = await self.handle(request)
        if faults.lose_answers and request.method != "GET":
            return http.NoResponse()
        return response

    async def _handle_faults(self, request: http.Request) -> http.Response:
        if request.method != "GET":
            try:
                faults = _parse_faults(request.body)
            except (msgspec.MsgspecError, TypeError) as error:
                text = f"send the faults as JSON: {error}"
                raise errors.HttpError(400, "bad-request", text) from error
            await self._set_faults(faults)
        return http.json_response(200, self._faults)

    async def _set_faults(self, faults: Faults) -> None:
        self._faults = faults
        self._resumed.clear()
        if not faults.paused:
            await self._resumed.set()

    async def _apply_late(self, request: http.Request, delay_ms: float) -> None:
        await curio.sleep(delay_ms / 1000)
        await self.handle(request)

    @abc.abstractmethod
    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request, regardless of faults."""


def _parse_faults(body: bytes) -> Faults:
    return msgspec.convert(
        attrs.asdict(Faults(**msgspec.json.decode(body, type=dict))), Faults
    )


def error_response(error: errors.HttpError) -> http.Response:
    """Returns the response to a malformed request."""
    return http.json_response(error.status, {"error": str(error)})


async def serve(service: Service, listen: str) -> None:
    """Serves a stand-in at an IP:PORT until cancelled."""
    host, _, port = listen.rpartition(":")
    server = httpserver.Server(host, int(port), service.answer, error_response)
    await server.run()


def parser(description: str) -> argparse.ArgumentParser:
    """Returns a command-line parser with the options of all stand-ins."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--listen", required=True, help="IP:PORT")
    return result
