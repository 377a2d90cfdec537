import pytest

from tests import taskhistory


def row(at_s, action, attempt=1, worker="w1", task="j/0", progress=0.0, **size):
    return taskhistory.AttemptEvent(
        at_s, worker, action, task, attempt, progress, **size
    )


GOOD = [
    row(1, "start"),
    row(2, "evicted", progress=0.4),
    row(3, "start", 2, "w2", progress=0.4),
    row(4, "completed", 2, "w2", progress=1.0),
    row(4, "start", task="j/1"),
]


class TestViolations:
    def test_a_good_history_has_none(self):
        assert taskhistory.violations(GOOD) == []

    @pytest.mark.parametrize(
        ("seeded", "text"),
        [
            (row(1.5, "start", 2, "w2"), "runs twice"),
            (row(5, "start", 3, progress=0.4), "after it completed"),
            (row(4.5, "start", 2, "w3", progress=0.4), "again"),
            (row(4.5, "start", task="j/2", cores=31.5), "holds 32.5 cores"),
            (row(4.5, "start", task="j/2", memory_mb=125_001), "125001 MB"),
            (row(4.5, "start", task="j/2", progress=0.5), "resumes at 0.5"),
        ],
    )
    def test_a_seeded_violation_is_caught(self, seeded, text):
        found = taskhistory.violations([*GOOD, seeded])
        assert any(text in sentence for sentence in found)

    def test_a_lost_checkpoint_is_caught(self):
        forgotten = [
            *GOOD[:2],
            row(3, "start", 2, "w2", progress=0.0),
        ]
        assert "not 0.4" in taskhistory.violations(forgotten)[0]
