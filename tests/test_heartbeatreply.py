import attrs

from pomelostair import cell
from pomelostair import heartbeatreply
from pomelostair import messages

SIZE = messages.Size(8.0, 100)
KEY = ("j/0", 1)
EMPTY = heartbeatreply.VolatileState(
    {},
    {},
    lambda task: task.spec.size,
    lambda key: False,
)


def state(*events):
    committed = cell.State()
    for event in events:
        committed.apply(event)
    return committed


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


def build(committed, report, volatile=EMPTY):
    return heartbeatreply.build(report, committed, 7, volatile)


class TestBuild:
    def test_starts_placed_attempts_and_renews_running_ones(self):
        committed = state(*PLACED)
        ack = build(committed, heartbeat()).ack
        assert [order.attempt for order in ack.start] == [1]
        ack = build(committed, heartbeat([KEY])).ack
        assert (ack.start, ack.renew) == ((), (KEY,))

    def test_end_is_acknowledged_only_after_its_commit(self):
        committed = state(*PLACED)
        ack = build(committed, heartbeat(ended=[KEY])).ack
        assert (ack.acknowledged, ack.start) == ((), ())
        committed.apply(cell.TaskEnded(*KEY, messages.TaskEnd.COMPLETED))
        ack = build(committed, heartbeat(ended=[KEY])).ack
        assert ack.acknowledged == (KEY,)

    def test_unknown_attempt_is_stopped_and_not_renewed(self):
        ack = build(state(), heartbeat([KEY])).ack
        assert ack.stop == (messages.StopOrder(*KEY, checkpoint=False),)
        assert ack.renew == ()

    def test_evicted_attempt_is_checkpointed_and_keeps_its_lease(self):
        volatile = attrs.evolve(EMPTY, evictions={KEY: ""}, shares={KEY: 0.5})
        ack = build(state(*PLACED), heartbeat([KEY]), volatile).ack
        assert ack.stop == (messages.StopOrder(*KEY, checkpoint=True),)
        assert ack.renew == (KEY,)
        assert ack.throttle == ()

    def test_cancelled_attempt_ends_only_once_it_can_no_longer_start(self):
        committed = state(*PLACED, cell.JobCancelled("j"))
        assert build(committed, heartbeat()).events == ()
        volatile = attrs.evolve(EMPTY, cannot_start=lambda key: True)
        (event,) = build(committed, heartbeat(), volatile).events
        assert event.end is messages.TaskEnd.STOPPED
