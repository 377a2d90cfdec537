import curio
import pytest

from pomelostair import http
from pomelostair_standins import relay
from pomelostair_standins import site
from tests import caller

SERVICE_PATH = "/services/clapper-desk/fit"


@pytest.fixture(scope="module")
def site_with_relay():
    shape = site.Shape(entries=1, minions=1, workers=1, links=True)
    with site.running(shape) as running:
        assert caller.eventually(lambda: request_status(running) == 200)
        yield running


def request_status(running):
    headers = {"Pomelostair-Timeout-Ms": "400"}
    return caller.call(
        running.entries[0], "GET", SERVICE_PATH, headers=headers
    ).status


class TestCut:
    @pytest.mark.parametrize(
        ("source", "target"),
        [
            ("entry-1", "agent-minion-1"),
            ("agent-minion-1", "entry-1"),
            ("agent-minion-1", "minion-1"),
        ],
    )
    def test_cut_link_fails_requests_until_healed(
        self, site_with_relay, source, target
    ):
        site_with_relay.cut(source, target)
        assert caller.eventually(lambda: request_status(site_with_relay) >= 500)
        site_with_relay.heal()
        assert caller.eventually(lambda: request_status(site_with_relay) == 200)

    def test_cut_of_other_links_does_not_affect_requests(self, site_with_relay):
        site_with_relay.cut("agent-worker-1", "*")
        assert request_status(site_with_relay) == 200
        site_with_relay.heal()

    def test_invalid_rules_are_rejected(self, site_with_relay):
        relay = site_with_relay.describe()["relay"]
        answer = caller.call(relay, "POST", "/rules", b'[{"cut": 3}]')
        assert answer.status == 400
        assert "list of rules" in answer.json()["error"]


class TestSilent:
    def test_open_connections_stay_silent_and_new_ones_work(self):
        async def echo(client, _address):
            while data := await client.recv(100):
                await client.sendall(data)

        async def ask(client):
            await client.sendall(b"x")
            return await curio.ignore_after(0.2, client.recv, 1)

        async def body():
            await curio.spawn(
                curio.tcp_server, "127.0.0.1", upstream, echo, daemon=True
            )
            link = relay.Link(
                f"127.0.0.1:{listen}", f"127.0.0.1:{upstream}", "store", "edge"
            )
            network = relay.Relay(relay.Network((link,), {}))
            await network.run()
            await curio.sleep(0.05)
            old = await curio.open_connection("127.0.0.1", listen)
            answers = [await ask(old)]
            rules = b'[{"source": "edge", "silent": true}]'
            await network.handle(http.Request("POST", "/rules", (), rules))
            await network.handle(http.Request("POST", "/rules", (), b"[]"))
            answers.append(await ask(old))
            new = await curio.open_connection("127.0.0.1", listen)
            answers.append(await ask(new))
            return answers

        upstream, listen = (
            int(site.free_address().rpartition(":")[2]) for _ in range(2)
        )
        assert curio.run(body) == [b"x", None, b"x"]
