import curio
import msgspec

from pomelostair import pipelineleader
from pomelostair import pipelinelease
from pomelostair import store
from tests import test_pipelineapi


class TestStandBack:
    def test_small_hosts_leave_the_lease_to_larger_ones(self):
        """The load: 70 workers, and entries of half a core up to two."""
        small = pipelineleader.takeover_delay_s(0.516)
        large = pipelineleader.takeover_delay_s(2.15)
        assert small > large + pipelineleader.TAKEOVER_JITTER_S
        assert large == 0.0


class TestLook:
    def test_reading_the_row_of_a_lost_leader_is_no_sign_of_its_life(self):
        """The leader's host is gone; its row stays until the lease lapses."""
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        row = pipelinelease.LeaseRow(1, "lost", "bus-lost", "t", 1e15)
        put = store.Put(pipelinelease.KEY, msgspec.msgpack.encode(row))
        harness.table.time = harness.table.table.time

        async def body():
            await harness.table.commit(store.Transaction(puts=(put,)))
            await leader._look()
            assert harness.peers.leader.bus == "bus-lost"
            before = harness.peers.leader_silence_s
            await curio.sleep(pipelineleader.LEADER_TIMEOUT_S)
            await leader._look()
            assert harness.peers.leader_silence_s > before
            assert (
                harness.peers.leader_silence_s > pipelineleader.LEADER_TIMEOUT_S
            )

        harness.run(body)
