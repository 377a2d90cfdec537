import curio
import msgspec

from pomelostair import pipelineleader
from pomelostair import pipelinelease
from pomelostair import store
from tests import test_pipelineapi


class TestTakeoverDelay:
    def test_small_hosts_campaign_after_larger_ones(self):
        """An entry with too few cores can't lead 70 workers.

        The site has entries with half a core up to two cores.
        """
        small = pipelineleader.takeover_delay_s(0.516)
        large = pipelineleader.takeover_delay_s(2.15)
        assert small > large + pipelineleader.TAKEOVER_JITTER_S
        assert large == 0.0


class TestPollLease:
    def test_reading_the_lease_row_does_not_reset_the_leader_silence(self):
        """The row of a failed leader stays in the store until its lease lapses.

        If reading it counted as news of the leader, the other entries would
        wait for another timeout instead of checking the lease.
        """
        harness = test_pipelineapi.Harness()
        leader = harness.host.get(pipelineleader.PipelineLeader)
        row = pipelinelease.LeaseRow(1, "lost", "bus-lost", "t", 1e15)
        put = store.Put(pipelinelease.KEY, msgspec.msgpack.encode(row))
        harness.table.time = harness.table.table.time

        async def body():
            await harness.table.commit(store.Transaction(puts=(put,)))
            await leader._poll_lease()
            assert harness.peers.leader.bus == "bus-lost"
            before = harness.peers.leader_silence_s
            await curio.sleep(pipelineleader.LEADER_TIMEOUT_S)
            await leader._poll_lease()
            assert harness.peers.leader_silence_s > before
            assert (
                harness.peers.leader_silence_s > pipelineleader.LEADER_TIMEOUT_S
            )

        harness.run(body)
