from pomelostair import cell
from pomelostair import commitbuffer
from pomelostair import messages

JOB = cell.JobSubmitted(messages.JobSpec("a", "netting"))
PLACED = cell.TaskPlaced("b/0", 1, "w1")
ENDED = cell.TaskEnded("b/0", 1, messages.TaskEnd.LAPSED)


def _waiter():
    return commitbuffer.Waiter(None, lambda: None)


class TestCommitBuffer:
    def test_equal_event_in_flight_is_joined_and_logged_once(self):
        found = commitbuffer.CommitBuffer()
        first, second = _waiter(), _waiter()
        found.add(JOB, first)
        assert found.start_commit(10) == (JOB,)
        found.add(JOB, second)
        assert found.submitted_spec("a") == JOB.spec
        assert found.none_pending
        assert found.commit_succeeded() == [first, second]
        assert found.submitted_spec("a") is None

    def test_withdrawn_commit_keeps_ends_and_refuses_callers(self):
        found = commitbuffer.CommitBuffer()
        waiter = _waiter()
        found.add(JOB, waiter)
        found.add(PLACED)
        found.add(ENDED)
        found.start_commit(10)
        found.add(cell.JobCancelled("c"), _waiter())
        assert found.commit_failed() == [waiter]
        assert found.uncommitted == (ENDED, cell.JobCancelled("c"))
        assert found.lapsing_tasks == {"b/0"}
        assert found.submitted_spec("a") is None

    def test_batch_is_bounded_and_in_order(self):
        found = commitbuffer.CommitBuffer()
        events = [cell.JobCancelled(str(index)) for index in range(5)]
        for event in events:
            found.add(event)
        assert found.start_commit(3) == tuple(events[:3])
        found.commit_succeeded()
        assert found.start_commit(3) == tuple(events[3:])
