from pomelostair import decisions


class TestRecord:
    def test_repeated_decisions_are_kept_once(self):
        found = decisions.Decisions()
        for now in (1.0, 2.0):
            found.record("j/0", now, "waits: w1 no room, w2 no room")
        found.record("j/0", 3.0, "placed")
        assert found.rows("j/0") == (
            "1.000 s: waits: w1 no room, w2 no room",
            "3.000 s: placed",
        )

    def test_memory_is_bounded(self):
        found = decisions.Decisions()
        for number in range(decisions.MAX_TASKS + 1):
            found.record(f"j/{number}", 1.0, "placed")
        for number in range(decisions.MAX_ROWS_PER_TASK + 1):
            found.record("j/1", 1.0, f"row {number}")
        assert found.rows("j/0") == ()
        assert len(found.rows("j/1")) == decisions.MAX_ROWS_PER_TASK
