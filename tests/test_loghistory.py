import pytest

from pomelostair import cell
from pomelostair import messages
from tests import loghistory

END = messages.TaskEnd
EVENTS = [
    cell.JobSubmitted(messages.JobSpec("a", "netting")),
    cell.TaskPlaced("a/0", 1, "w1"),
    cell.TaskEnded("a/0", 1, END.EVICTED, "", "c1"),
    cell.TaskPlaced("a/0", 2, "w2"),
    cell.TaskEnded("a/0", 2, END.COMPLETED),
]
RUNS = [
    loghistory.AttemptRun("a/0", 1, "w1", 1.0, 2.0),
    loghistory.AttemptRun("a/0", 2, "w2", 2.0, 3.0),
]


class TestViolations:
    def test_valid_history_has_none(self):
        assert loghistory.violations(EVENTS, RUNS, ["a"]) == []

    @pytest.mark.parametrize(
        ("events", "runs", "accepted", "words"),
        [
            (
                EVENTS,
                [loghistory.AttemptRun("a/0", 1, "w1", 1.0, 2.1), RUNS[1]],
                [],
                "two places",
            ),
            (
                EVENTS,
                [loghistory.AttemptRun("a/0", 1, "w1", 1.0), RUNS[1]],
                [],
                "two places",
            ),
            (EVENTS[:3], RUNS, [], "without a committed placement"),
            (
                EVENTS,
                [loghistory.AttemptRun("a/0", 1, "w2", 1.0, 2.0)],
                [],
                "without a committed placement",
            ),
            (
                EVENTS,
                [*RUNS, loghistory.AttemptRun("a/0", 2, "w2", 4.0, 5.0)],
                [],
                "started 2 times",
            ),
            (EVENTS, RUNS, ["a", "b"], "not in the log"),
            ([EVENTS[0], *EVENTS], RUNS, [], "accepted twice"),
            ([*EVENTS, EVENTS[1]], RUNS, [], "placed while placed or done"),
            ([*EVENTS[:2], EVENTS[3]], RUNS, [], "placed while placed"),
            ([*EVENTS[:3], EVENTS[1]], RUNS[:1], [], "went from 1 to 1"),
        ],
    )
    def test_seeded_violation_is_caught(self, events, runs, accepted, words):
        found = loghistory.violations(events, runs, accepted)
        assert any(words in sentence for sentence in found), found
