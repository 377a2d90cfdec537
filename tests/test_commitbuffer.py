from pomelostair import cell
from pomelostair import commitbuffer
from pomelostair import messages

JOB = cell.JobSubmitted(messages.JobSpec("a", "netting"))
PLACED = cell.TaskPlaced("b/0", 1, "w1")
ENDED = cell.TaskEnded("b/0", 1, messages.TaskEnd.LAPSED)


def _waiter():
    return commitbuffer.Waiter(None, lambda: None)


class TestCommitBuffer:
    def test_event_equal_to_one_in_flight_is_logged_once(self):
        buffer = commitbuffer.CommitBuffer()
        first, second = _waiter(), _waiter()
        buffer.add(JOB, first)
        assert buffer.start_commit(10) == (JOB,)
        buffer.add(JOB, second)
        assert buffer.submitted_spec("a") == JOB.spec
        assert buffer.none_pending
        assert buffer.commit_succeeded() == [first, second]
        assert buffer.submitted_spec("a") is None

    def test_failed_commit_retries_ends_and_refuses_callers(self):
        buffer = commitbuffer.CommitBuffer()
        waiter = _waiter()
        buffer.add(JOB, waiter)
        buffer.add(PLACED)
        buffer.add(ENDED)
        buffer.start_commit(10)
        buffer.add(cell.JobCancelled("c"), _waiter())
        assert buffer.commit_failed() == [waiter]
        assert buffer.uncommitted == (ENDED, cell.JobCancelled("c"))
        assert buffer.lapsing_tasks == {"b/0"}
        assert buffer.submitted_spec("a") is None

    def test_commit_is_bounded_and_in_order(self):
        buffer = commitbuffer.CommitBuffer()
        events = [cell.JobCancelled(str(index)) for index in range(5)]
        for event in events:
            buffer.add(event)
        assert buffer.start_commit(3) == tuple(events[:3])
        buffer.commit_succeeded()
        assert buffer.start_commit(3) == tuple(events[3:])
