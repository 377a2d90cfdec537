"""What the HTTP stand-ins share: a server, faults and the main program.

Each stand-in takes `POST /faults` with a JSON object of `Faults`.
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
    """Switchable faults of a stand-in.

    Attributes:
        down: Refuse everything with 503, having applied nothing.
        slow_ms: Wait before each answer, in milliseconds.
        lose_answers: Apply writes, then close without an answer.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: bool = False


class Service(abc.ABC):
    """A stand-in that answers HTTP requests."""

    def __init__(self):
        self._faults = Faults()

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    async def answer(self, request: http.Request) -> http.Response:
        """Answers one request, under the faults in force."""
        if request.target == "/faults":
            self._faults = msgspec.json.decode(request.body, type=Faults)
            return http.json_response(200, {})
        faults = self._faults
        if faults.slow_ms:
            await curio.sleep(faults.slow_ms / 1000)
        if faults.down:
            return http.json_response(503, {"error": "down"})
        response = await self.handle(request)
        if faults.lose_answers and request.method != "GET":
            raise curio.TaskCancelled("answer lost")
        return response

    @abc.abstractmethod
    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request without faults."""


def error_page(error: errors.HttpError) -> http.Response:
    """Returns a stand-in's answer to a malformed request."""
    return http.json_response(error.status, {"error": str(error)})


async def serve(service: Service, listen: str) -> None:
    """Serves a stand-in until it is ended."""
    host, _, port = listen.rpartition(":")
    server = httpserver.Server(host, int(port), service.answer, error_page)
    await server.run()


def parser(description: str) -> argparse.ArgumentParser:
    """Returns a command-line parser with the options that all share."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--listen", required=True, help="IP:PORT")
    return result
