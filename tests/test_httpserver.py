import curio

from pomelostair import http
from pomelostair import httpserver


async def answer(_request):
    return http.Response(200)


class TestDrain:
    def test_sockets_opened_during_a_drain_work(self):
        async def scenario():
            other = curio.tcp_server_socket("127.0.0.1", 0)
            server = httpserver.Server("127.0.0.1", 0, answer, None)
            await curio.spawn(server.run, daemon=True)
            await curio.sleep(0.05)
            assert await server.drain(1.0)
            address = other.getsockname()
            opened = [await curio.open_connection(*address) for _ in range(4)]
            for stream in opened:
                await stream.sendall(b"x")
                await stream.close()
            return len(opened)

        assert curio.run(scenario) == 4
