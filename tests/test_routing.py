import random

from hypothesis import given
from hypothesis import strategies as st

from pomelostair import messages
from pomelostair import routing
from tests import targets

CONTEXT = routing.RoutingContext("patan")
NORMAL = messages.Urgency.NORMAL
LOADS = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 30), st.integers(1, 40)),
    min_size=1,
    max_size=8,
)


def loaded_minion(index, zone, running, queued, service_ms):
    return targets.make_minion(
        f"m{index}",
        zone,
        service_ms,
        running=running,
        queued=queued,
        waits_ms=(queued * service_ms / 8,) * 4,
    )


def choose(candidates, seed=1):
    return routing.choose(candidates, NORMAL, CONTEXT, random.Random(seed))


class TestChoose:
    def test_no_candidates(self):
        assert choose([]) is None

    @given(LOADS, st.integers(0, 99))
    def test_never_the_worst_of_three_or_more(self, loads, seed):
        candidates = [
            loaded_minion(i, "patan", *load) for i, load in enumerate(loads)
        ]
        chosen = choose(candidates, seed)
        scores = [
            routing.expected_latency_ms(t, NORMAL, CONTEXT) for t in candidates
        ]
        worse = [
            s
            for s in scores
            if s >= routing.expected_latency_ms(chosen, NORMAL, CONTEXT)
        ]
        assert len(worse) >= min(2, len(candidates))

    @given(LOADS)
    def test_finds_the_best_of_up_to_two_in_and_two_outside_the_zone(
        self, loads
    ):
        zones = ["patan", "patan", "kirtipur", "kirtipur"]
        candidates = [
            loaded_minion(i, zones[i], *load)
            for i, load in enumerate(loads[:4])
        ]
        best = min(
            routing.expected_latency_ms(t, NORMAL, CONTEXT) for t in candidates
        )
        chosen = routing.expected_latency_ms(
            choose(candidates), NORMAL, CONTEXT
        )
        assert chosen == best

    def test_a_minion_without_service_time_does_not_get_every_request(self):
        measured = targets.make_minion("known")
        new = targets.make_minion("new", service_ms=0.0)
        new.outstanding[NORMAL] = 9
        assert choose([measured, new]) is measured

    def test_prefers_the_own_zone_among_equals(self):
        candidates = [
            targets.make_minion("far", "kirtipur"),
            targets.make_minion("near"),
        ]
        assert choose(candidates).announcement.name == "near"

    def test_chooses_another_zone_if_the_wait_exceeds_its_latency(self):
        near = targets.make_minion("near", running=8, waits_ms=(9.0,) * 4)
        far = targets.make_minion("far", "kirtipur")
        assert choose([near, far]) is far


class TestExpectedLatency:
    def test_counts_own_requests_since_the_announcement(self):
        target = targets.make_minion("m", running=8, waits_ms=(0.0,) * 4)
        before = routing.expected_latency_ms(target, NORMAL, CONTEXT)
        target.outstanding[NORMAL] = 8
        after = routing.expected_latency_ms(target, NORMAL, CONTEXT)
        assert after >= before + target.announcement.service_ms

    def test_assumes_that_other_entries_send_as_many(self):
        target = targets.make_minion("m", running=8, waits_ms=(0.0,) * 4)
        target.outstanding[NORMAL] = 4
        one_entry_ms = routing.expected_latency_ms(target, NORMAL, CONTEXT)
        three_entries = routing.RoutingContext("patan", entries=3)
        target.outstanding[NORMAL] = 12
        all_requests_ms = routing.expected_latency_ms(target, NORMAL, CONTEXT)
        target.outstanding[NORMAL] = 4
        assert (
            routing.expected_latency_ms(target, NORMAL, three_entries)
            == all_requests_ms
            > one_entry_ms
        )

    def test_less_urgent_requests_do_not_delay_the_urgent(self):
        target = targets.make_minion("m", running=8, waits_ms=(0.0,) * 4)
        target.outstanding[messages.Urgency.BATCH] = 80
        critical_ms = routing.expected_latency_ms(
            target, messages.Urgency.CRITICAL, CONTEXT
        )
        batch_ms = routing.expected_latency_ms(
            target, messages.Urgency.BATCH, CONTEXT
        )
        assert critical_ms < batch_ms


class TestHasRoom:
    FULL_QUEUE = {"running": 8, "queued": 128, "sheds": messages.Urgency.BATCH}

    def test_only_the_class_to_shed_is_refused(self):
        full = targets.make_minion("m", **self.FULL_QUEUE)
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.0)
        assert routing.has_room(full, messages.Urgency.CRITICAL, 0.0)

    def test_a_full_queue_has_room_once_a_tenth_was_served(self):
        full = targets.make_minion("m", **self.FULL_QUEUE)
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.03)
        assert routing.has_room(full, messages.Urgency.BATCH, 0.04)

    def test_requests_sent_since_use_up_the_room(self):
        full = targets.make_minion("m", **self.FULL_QUEUE)
        full.outstanding[messages.Urgency.BATCH] = 20
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.04)
