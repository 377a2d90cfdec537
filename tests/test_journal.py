from pomelostair import cell
from pomelostair import journal
from pomelostair import messages

JOB = cell.JobSubmitted(messages.JobSpec("a", "netting"))
PLACED = cell.TaskPlaced("b/0", 1, "w1")
ENDED = cell.TaskEnded("b/0", 1, messages.TaskEnd.LAPSED)


def _waiter():
    return journal.Waiter(None, lambda: None)


class TestJournal:
    def test_equal_event_in_flight_is_joined_and_logged_once(self):
        found = journal.Journal()
        first, second = _waiter(), _waiter()
        found.add(JOB, first)
        assert found.take(10) == (JOB,)
        found.add(JOB, second)
        assert found.submitted("a") == JOB.spec
        assert found.empty
        assert found.finish() == [first, second]
        assert found.submitted("a") is None

    def test_withdrawn_commit_keeps_ends_and_refuses_callers(self):
        found = journal.Journal()
        waiter = _waiter()
        found.add(JOB, waiter)
        found.add(PLACED)
        found.add(ENDED)
        found.take(10)
        found.add(cell.JobCancelled("c"), _waiter())
        assert found.withdraw() == [waiter]
        assert found.events == (ENDED, cell.JobCancelled("c"))
        assert found.lapsing == {"b/0"}
        assert found.submitted("a") is None

    def test_batch_is_bounded_and_in_order(self):
        found = journal.Journal()
        events = [cell.JobCancelled(str(index)) for index in range(5)]
        for event in events:
            found.add(event)
        assert found.take(3) == tuple(events[:3])
        found.finish()
        assert found.take(3) == tuple(events[3:])
