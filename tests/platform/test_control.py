import json

import attrs
import pytest

from pomelostair import http
from pomelostair import pipelineagent
from pomelostair.platform import control
from pomelostair.platform import minion
from tests import nested
from tests import test_pipelineagent
from tests.platform import test_decoding

GOOD = {**test_decoding.HEARTBEAT_BODY, "born": 7}


class Host:
    """Provides the agent to the plug-in under test."""

    def __init__(self, agent):
        self._agent = agent

    def get(self, _cls):
        return self._agent


class Harness(test_pipelineagent.Harness):
    """An agent with its HTTP API, and a bus endpoint in place of its leader."""

    def __init__(self):
        super().__init__()
        settings = attrs.evolve(
            self.parts.settings,
            pipelines=attrs.evolve(
                self.parts.settings.pipelines, workers="127.0.0.1:0"
            ),
        )
        self.control = control.Control(
            attrs.evolve(self.parts, settings=settings), Host(self.agent)
        )

    async def post(self, path, body=b""):
        """Returns the status of a call of a worker."""
        request = http.Request("POST", path, (), body)
        return (await self.control._answer(request)).status

    async def beat(self, worker="w1", **changes):
        body = json.dumps({**GOOD, **changes}).encode()
        return await self.post(f"/Instances.Heartbeat/{worker}", body)

    async def next_reports(self):
        """Waits for two further reports, and returns the last one."""
        count = len(self.reports) + 2
        await self.wait_until(lambda: len(self.reports) >= count)
        return self.reports[-1]


class TestHeartbeat:
    @pytest.mark.parametrize("address", ["10.0.0.1:70000", "10.0.0.1", ":80"])
    def test_unusable_address_replaces_no_worker(self, address):
        """The worker was dropped, and its address no longer registered."""
        harness = Harness()
        client = harness.port.client

        def create_client(heartbeat):
            minion.MinionClient(heartbeat.address, heartbeat.worker)
            return client

        harness.port.worker_client = create_client

        async def body():
            assert await harness.beat() == 200
            await harness.instruct()
            statuses = [
                await harness.beat(born=8, address=address),
                await harness.beat(seq=5, address=address),
            ]
            report = await harness.next_reports()
            assert report.lives == (("w1", 7),)
            assert report.addresses == {"w1": GOOD["address"]}
            assert statuses == [400, 400]

        harness.run(body)

    @pytest.mark.parametrize("worker", ["w1", "w2"])
    @pytest.mark.parametrize(
        "change", [{"born": 2**64}, {"capacity": {"cpu": 2**64}}], ids=str
    )
    def test_number_too_large_harms_no_other_worker(self, worker, change):
        """No report could be encoded any more, so the leases lapsed."""
        harness = Harness()

        async def body():
            assert await harness.beat() == 200
            await harness.instruct()
            status = await harness.beat(worker, **{"seq": 5, **change})
            report = await harness.next_reports()
            assert report.lives == (("w1", 7),)
            assert report.addresses == {"w1": GOOD["address"]}
            assert status == 400

        harness.run(body)

    def test_made_up_workers_are_bounded(self):
        """Ids are free to make up, and each takes tasks and connections."""
        harness = Harness()

        async def body():
            assert await harness.beat() == 200
            for n in range(pipelineagent.MAX_WORKERS + 20):
                await harness.beat(f"x{n}", address=f"127.0.0.1:{n + 1000}")
            await harness.instruct()
            report = await harness.next_reports()
            assert len(report.lives) == pipelineagent.MAX_WORKERS
            assert ("w1", 7) in report.lives

        harness.run(body)


class TestDeregistration:
    @pytest.mark.parametrize(
        "data", [b'{"born":"7"}', b"\xff", nested.json_object()]
    )
    def test_malformed_one_removes_no_worker(self, data):
        """It removed any incarnation under the id."""
        harness = Harness()

        async def body():
            assert await harness.beat() == 200
            await harness.instruct()
            status = await harness.post("/Instances.Deregister/w1", data)
            harness.port.client.process_ended = True
            report = await harness.next_reports()
            assert report.lives == (("w1", 7),)
            assert status == 400

        harness.run(body)

    @pytest.mark.parametrize("data", [b"", b"{}", b'{"born":7}'])
    def test_removes_the_worker(self, data):
        harness = Harness()

        async def body():
            assert await harness.beat() == 200
            await harness.instruct()
            path = "/Instances.Deregister/w1"
            assert await harness.post(path, data) == 200
            harness.port.client.process_ended = True
            await harness.wait_until(
                lambda: any(report.gone for report in harness.reports)
            )
            report = harness.reports[-1]
            assert report.lives == ()
            assert report.gone == (("w1", 7),)

        harness.run(body)
