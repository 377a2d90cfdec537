import attrs

from pomelostair import cell
from pomelostair import heartbeatreply
from pomelostair import messages

SIZE = messages.Size(8.0, 100)
KEY = ("j/0", 1)
NOTHING = heartbeatreply.VolatileState(
    {},
    {},
    lambda task: task.spec.size,
    lambda key: False,
)


def state(*events):
    found = cell.State()
    for event in events:
        found.apply(event)
    return found


PLACED = (
    cell.JobSubmitted(messages.JobSpec("j", "k")),
    cell.TaskPlaced("j/0", 1, "w1"),
)


def heartbeat(running=(), ended=()):
    return messages.Heartbeat(
        "w1",
        "z",
        "r",
        SIZE,
        messages.TargetState.READY,
        tuple(messages.TaskUsage(*key, SIZE, 0.5, 1.0) for key in running),
        tuple(
            messages.TaskEnded(*key, messages.TaskEnd.COMPLETED)
            for key in ended
        ),
    )


def answer(found, beat, orders=NOTHING):
    return heartbeatreply.build(beat, found, 7, orders)


class TestAnswer:
    def test_starts_what_is_placed_and_renews_what_runs(self):
        found = state(*PLACED)
        ack = answer(found, heartbeat()).ack
        assert [order.attempt for order in ack.start] == [1]
        ack = answer(found, heartbeat([KEY])).ack
        assert (ack.start, ack.renew) == ((), (KEY,))

    def test_an_end_is_acknowledged_after_its_commit_only(self):
        found = state(*PLACED)
        ack = answer(found, heartbeat(ended=[KEY])).ack
        assert (ack.acknowledged, ack.start) == ((), ())
        found.apply(cell.TaskEnded(*KEY, messages.TaskEnd.COMPLETED))
        ack = answer(found, heartbeat(ended=[KEY])).ack
        assert ack.acknowledged == (KEY,)

    def test_an_unknown_attempt_is_stopped_and_not_renewed(self):
        ack = answer(state(), heartbeat([KEY])).ack
        assert ack.stop == (messages.StopOrder(*KEY, checkpoint=False),)
        assert ack.renew == ()

    def test_an_evicted_attempt_leaves_by_checkpoint_and_keeps_its_lease(self):
        orders = attrs.evolve(NOTHING, evictions={KEY: ""}, shares={KEY: 0.5})
        ack = answer(state(*PLACED), heartbeat([KEY]), orders).ack
        assert ack.stop == (messages.StopOrder(*KEY, checkpoint=True),)
        assert ack.renew == (KEY,)
        assert ack.throttle == ()

    def test_a_cancelled_attempt_ends_only_when_it_cannot_start_any_more(self):
        found = state(*PLACED, cell.JobCancelled("j"))
        assert answer(found, heartbeat()).events == ()
        orders = attrs.evolve(NOTHING, cannot_start=lambda key: True)
        (event,) = answer(found, heartbeat(), orders).events
        assert event.end is messages.TaskEnd.STOPPED
