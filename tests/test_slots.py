from hypothesis import given
from hypothesis import strategies as st

from pomelostair import slots

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("take")),
        st.tuples(st.just("answer"), st.integers(0, 9)),
        st.tuples(st.just("cut"), st.integers(0, 9)),
        st.tuples(st.just("end"), st.integers(0, 9)),
        st.tuples(st.just("report")),
        st.tuples(st.just("wait"), st.floats(0, 6)),
    ),
    max_size=60,
)
LONGEST_RUN_S = 10.0


class MinionModel:
    """Requests in a minion by start time; cut off ones may still run."""

    def __init__(self):
        self.awaited = []
        self.cut = []

    def running(self):
        return len(self.awaited) + len(self.cut)


class TestSlotLedger:
    @given(st.integers(1, 8), STEPS)
    def test_running_requests_never_exceed_the_occupied_slots(
        self, size, steps
    ):
        ledger = slots.SlotLedger(size)
        minion = MinionModel()
        now = 0.0
        for name, *arguments in steps:
            index = arguments[0] if arguments else 0
            match name:
                case "take" if ledger.free(now):
                    ledger.acquire()
                    minion.awaited.append(now)
                case "answer" if index < len(minion.awaited):
                    minion.awaited.pop(index)
                    ledger.release()
                case "cut" if index < len(minion.awaited):
                    started = minion.awaited.pop(index)
                    minion.cut.append(started)
                    ledger.mark_doubtful(started + LONGEST_RUN_S)
                case "end" if index < len(minion.cut):
                    minion.cut.pop(index)
                case "report":
                    ledger.limit_doubtful(minion.running())
                case "wait":
                    now += index
                    minion.cut = [
                        s for s in minion.cut if s + LONGEST_RUN_S > now
                    ]
            assert minion.running() <= ledger.occupied(now)
            assert minion.running() <= size

    def test_slots_are_free_after_the_longest_run_time(self):
        ledger = slots.SlotLedger(8)
        ledger.mark_all_doubtful(10.0)
        assert ledger.free(9.9) == 0
        assert ledger.free(10.0) == 8

    def test_report_frees_the_slots_beyond_its_count(self):
        ledger = slots.SlotLedger(8)
        ledger.mark_all_doubtful(10.0)
        ledger.limit_doubtful(3)
        assert ledger.free(1.0) == 5
