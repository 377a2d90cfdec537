import curio
import pytest

from pomelostair import http
from pomelostair import httpserver
from pomelostair import outcome
from pomelostair import responses
from pomelostair.platform import front


class TestRefusalResponse:
    @pytest.mark.parametrize(
        ("kind", "ran", "status", "retries"),
        [
            (outcome.Kind.STORE_UNAVAILABLE, outcome.Ran.NO, 503, True),
            (outcome.Kind.LIMITED, outcome.Ran.NO, 503, True),
            (outcome.Kind.CANCELLED, outcome.Ran.NO, 503, False),
            (outcome.Kind.ANSWER_LOST, outcome.Ran.UNKNOWN, 504, False),
        ],
        ids=lambda value: getattr(value, "value", None),
    )
    def test_tells_to_repeat_only_what_may_succeed(
        self, kind, ran, status, retries
    ):
        refused = outcome.Refused(kind, "a remedy", ran)
        response = front._refusal_response(refused)
        assert response.status == status
        assert ("retry-after" in dict(response.headers)) is retries


class TestLimits:
    def test_caller_that_does_not_read_is_closed(self, monkeypatch):
        """It was not evictable either, for the default of 60 s."""
        assert front.REQUEST_TIMEOUT_S <= 5.0
        monkeypatch.setattr(front, "REQUEST_TIMEOUT_S", 0.2)

        async def handle(_request):
            return http.Response(200, (), b"x" * 10_000_000)

        async def body():
            server = httpserver.Server(
                "127.0.0.1",
                0,
                handle,
                responses.error_response,
                front._limits(max_connections=9, max_body_bytes=100),
            )
            task = await curio.spawn(server.run, daemon=True)
            client = await curio.open_connection("127.0.0.1", server.port)
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            await client.sendall(request * 20)
            while not server.open_connections:
                await curio.sleep(0.01)
            while server.open_connections:
                await curio.sleep(0.01)
            await client.close()
            await task.cancel()

        curio.run(curio.timeout_after, 20, body)
