from pomelostair import decisions


class TestRecord:
    def test_repeated_decision_is_recorded_once(self):
        recent_decisions = decisions.Decisions()
        for now in (1.0, 2.0):
            recent_decisions.record("j/0", now, "waits: w1 no room, w2 no room")
        recent_decisions.record("j/0", 3.0, "placed")
        assert recent_decisions.rows("j/0") == (
            "1.000 s: waits: w1 no room, w2 no room",
            "3.000 s: placed",
        )

    def test_memory_is_bounded(self):
        recent_decisions = decisions.Decisions()
        for number in range(decisions.MAX_TASKS + 1):
            recent_decisions.record(f"j/{number}", 1.0, "placed")
        for number in range(decisions.MAX_ROWS_PER_TASK + 1):
            recent_decisions.record("j/1", 1.0, f"row {number}")
        assert recent_decisions.rows("j/0") == ()
        assert len(recent_decisions.rows("j/1")) == decisions.MAX_ROWS_PER_TASK
