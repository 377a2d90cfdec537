import curio
import pytest

from pomelostair import once
from pomelostair import outcome
from pomelostair import store


class ReplyLosingObjects(store.MemoryObjects):
    """Applies writes, but loses their replies."""

    async def put(self, key, data, create=False):
        await super().put(key, data, create)
        return outcome.Unknown("lost")


class UnavailableObjects(store.MemoryObjects):
    """Object store that can't be read."""

    async def get(self, key):
        return outcome.Unavailable("down")


def claim(objects, attempt, boot="b"):
    return curio.run(once.claim, objects, "j/0", attempt, boot)


def record_end(objects, attempt, completed):
    return curio.run(once.record_end, objects, "j/0", attempt, completed, "b")


class TestClaim:
    def test_first_attempt_starts(self):
        assert claim(store.MemoryObjects(), 1) is once.StartDecision.START

    def test_no_start_while_outcomes_are_unreadable(self):
        assert claim(UnavailableObjects(), 1) is once.StartDecision.WAIT

    @pytest.mark.parametrize(
        ("completed", "decision"),
        [
            (True, once.StartDecision.COMPLETED),
            (False, once.StartDecision.START),
        ],
    )
    def test_recorded_end_of_an_earlier_attempt_decides(
        self, completed, decision
    ):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert record_end(objects, 1, completed)
        assert claim(objects, 3) is decision

    def test_attempt_that_may_have_completed_blocks_the_next(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert claim(objects, 2) is once.StartDecision.UNKNOWN

    def test_claim_with_a_lost_reply_can_be_repeated(self):
        objects = ReplyLosingObjects()
        assert claim(objects, 1) is once.StartDecision.WAIT
        assert claim(objects, 1) is once.StartDecision.START

    def test_claimed_attempt_may_have_run_before_a_reboot(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert claim(objects, 1, "other") is once.StartDecision.UNKNOWN

    def test_delayed_write_of_an_old_attempt_hides_no_later_record(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        record_end(objects, 1, False)
        claim(objects, 2)
        record_end(objects, 1, False)
        assert claim(objects, 3) is once.StartDecision.UNKNOWN
