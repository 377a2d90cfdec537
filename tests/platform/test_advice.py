import curio
import msgspec

from pomelostair import http
from pomelostair import httpserver
from pomelostair import ports
from pomelostair.platform import advice
from pomelostair_standins import service


def advise(handler, timeout_s=2.0):
    """Requests advice from a server with this handler; returns the result."""

    async def main():
        server = httpserver.Server(
            "127.0.0.1", 0, handler, service.error_response
        )
        task = await curio.spawn(server.run, daemon=True)
        client = advice.AdviceClient(f"127.0.0.1:{server.port}")
        try:
            return await curio.timeout_after(
                10, client.advise, "a.0.1", ("w1", "w2"), timeout_s
            )
        finally:
            await task.cancel()

    return curio.run(main)


class TestAdviceClient:
    def test_approved_workers_are_returned_with_tickets(self):
        requests = []

        async def answer(request):
            requests.append((request.method, request.target, request.body))
            body = msgspec.json.encode({"approved": [["w2", "ticket"]]})
            return http.Response(200, (), body)

        assert advise(answer) == ports.Advised({"w2": "ticket"})
        method, target, body = requests[0]
        assert (method, target) == ("POST", "/advise")
        assert msgspec.json.decode(body) == {
            "step": "a.0.1",
            "workers": ["w1", "w2"],
        }

    def test_status_429_is_denied(self):
        async def answer(_request):
            return http.Response(429, (), b"")

        assert advise(answer) == ports.Denied("429")

    def test_unreadable_answer_counts_as_no_answer(self):
        async def answer(_request):
            return http.Response(200, (), b"[1")

        assert isinstance(advise(answer), ports.NoAnswer)

    def test_silent_advisor_times_out(self):
        async def answer(_request):
            await curio.sleep(5)

        assert isinstance(advise(answer, timeout_s=0.2), ports.NoAnswer)
