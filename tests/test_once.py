import curio
import pytest

from pomelostair import once
from pomelostair import outcome
from pomelostair import store


class Lost(store.MemoryObjects):
    """Applies writes and loses their answers."""

    async def put(self, key, data, create=False):
        await super().put(key, data, create)
        return outcome.Unknown("lost")


class Down(store.MemoryObjects):
    """Answers nothing."""

    async def get(self, key):
        return outcome.Unavailable("down")


def claim(objects, attempt, boot="b"):
    return curio.run(once.claim, objects, "j/0", attempt, boot)


def settle(objects, attempt, completed):
    return curio.run(once.record_end, objects, "j/0", attempt, completed, "b")


class TestClaim:
    def test_the_first_attempt_starts(self):
        assert claim(store.MemoryObjects(), 1) is once.StartDecision.START

    def test_nothing_starts_unread(self):
        assert claim(Down(), 1) is once.StartDecision.WAIT

    @pytest.mark.parametrize(
        ("completed", "verdict"),
        [
            (True, once.StartDecision.COMPLETED),
            (False, once.StartDecision.START),
        ],
    )
    def test_a_known_end_decides(self, completed, verdict):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert settle(objects, 1, completed)
        assert claim(objects, 3) is verdict

    def test_an_attempt_that_may_have_completed_blocks_the_next(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert claim(objects, 2) is once.StartDecision.UNKNOWN

    def test_a_claim_with_a_lost_answer_is_taken_up_again(self):
        objects = Lost()
        assert claim(objects, 1) is once.StartDecision.WAIT
        assert claim(objects, 1) is once.StartDecision.START

    def test_a_worker_that_booted_again_may_have_run_it(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        assert claim(objects, 1, "other") is once.StartDecision.UNKNOWN

    def test_a_late_write_of_an_old_attempt_hides_nothing(self):
        objects = store.MemoryObjects()
        claim(objects, 1)
        settle(objects, 1, False)
        claim(objects, 2)
        settle(objects, 1, False)
        assert claim(objects, 3) is once.StartDecision.UNKNOWN
