import pytest

from tests import taskhistory


def event(
    at_s, action, attempt=1, worker="w1", task="j/0", progress=0.0, **size
):
    return taskhistory.AttemptEvent(
        at_s, worker, action, task, attempt, progress, **size
    )


VALID = [
    event(1, "start"),
    event(2, "evicted", progress=0.4),
    event(3, "start", 2, "w2", progress=0.4),
    event(4, "completed", 2, "w2", progress=1.0),
    event(4, "start", task="j/1"),
]


class TestViolations:
    def test_valid_history_has_none(self):
        assert taskhistory.violations(VALID) == []

    @pytest.mark.parametrize(
        ("seeded", "text"),
        [
            (event(1.5, "start", 2, "w2"), "runs twice"),
            (event(5, "start", 3, progress=0.4), "after it completed"),
            (event(4.5, "start", 2, "w3", progress=0.4), "again"),
            (event(4.5, "start", task="j/2", cores=31.5), "holds 32.5 cores"),
            (event(4.5, "start", task="j/2", memory_mb=125_001), "125001 MB"),
            (event(4.5, "start", task="j/2", progress=0.5), "resumes at 0.5"),
        ],
    )
    def test_seeded_violation_is_reported(self, seeded, text):
        sentences = taskhistory.violations([*VALID, seeded])
        assert any(text in sentence for sentence in sentences)

    def test_lost_checkpoint_is_reported(self):
        lost_checkpoint = [
            *VALID[:2],
            event(3, "start", 2, "w2", progress=0.0),
        ]
        assert "not 0.4" in taskhistory.violations(lost_checkpoint)[0]
