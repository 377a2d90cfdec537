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


class NaiveMinion:
    """Every request by its start; what was cut may run on in it."""

    def __init__(self):
        self.awaited = []
        self.cut = []

    def running(self):
        return len(self.awaited) + len(self.cut)


class TestSlotLedger:
    @given(st.integers(1, 8), STEPS)
    def test_never_more_than_the_minion_has(self, size, steps):
        ledger = slots.SlotLedger(size)
        minion = NaiveMinion()
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

    def test_a_restart_waits_for_the_longest_run(self):
        ledger = slots.SlotLedger(8)
        ledger.mark_all_doubtful(10.0)
        assert ledger.free(9.9) == 0
        assert ledger.free(10.0) == 8

    def test_a_report_frees_what_it_does_not_name(self):
        ledger = slots.SlotLedger(8)
        ledger.mark_all_doubtful(10.0)
        ledger.limit_doubtful(3)
        assert ledger.free(1.0) == 5
