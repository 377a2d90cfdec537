import random

from hypothesis import given
from hypothesis import strategies as st

from pomelostair import messages
from pomelostair import routing
from tests import targets

HERE = routing.Viewpoint("patan")
NORMAL = messages.Urgency.NORMAL
LOADS = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 30), st.integers(1, 40)),
    min_size=1,
    max_size=8,
)


def loaded(index, zone, running, queued, service_ms):
    return targets.minion(
        f"m{index}",
        zone,
        service_ms,
        running=running,
        queued=queued,
        waits_ms=(queued * service_ms / 8,) * 4,
    )


def pick(candidates, seed=1):
    return routing.choose(candidates, NORMAL, HERE, random.Random(seed))


class TestChoose:
    def test_none(self):
        assert pick([]) is None

    @given(LOADS, st.integers(0, 99))
    def test_never_the_worst_of_three_or_more(self, loads, seed):
        candidates = [loaded(i, "patan", *load) for i, load in enumerate(loads)]
        chosen = pick(candidates, seed)
        scores = [routing.expected_ms(t, NORMAL, HERE) for t in candidates]
        worse = [
            s for s in scores if s >= routing.expected_ms(chosen, NORMAL, HERE)
        ]
        assert len(worse) >= min(2, len(candidates))

    @given(LOADS)
    def test_up_to_two_here_and_two_elsewhere_is_a_full_search(self, loads):
        zones = ["patan", "patan", "kirtipur", "kirtipur"]
        candidates = [
            loaded(i, zones[i], *load) for i, load in enumerate(loads[:4])
        ]
        naive = min(routing.expected_ms(t, NORMAL, HERE) for t in candidates)
        chosen = routing.expected_ms(pick(candidates), NORMAL, HERE)
        assert chosen == naive

    def test_a_minion_without_answers_yet_does_not_draw_every_request(self):
        known = targets.minion("known")
        new = targets.minion("new", service_ms=0.0)
        new.outstanding[NORMAL] = 9
        assert pick([known, new]) is known

    def test_the_own_zone_first_among_equals(self):
        candidates = [targets.minion("far", "kirtipur"), targets.minion("near")]
        assert pick(candidates).announcement.name == "near"

    def test_another_zone_when_the_own_is_busier_than_the_hop(self):
        near = targets.minion("near", running=8, waits_ms=(9.0,) * 4)
        far = targets.minion("far", "kirtipur")
        assert pick([near, far]) is far


class TestExpectedMs:
    def test_own_requests_since_the_announcement_count(self):
        target = targets.minion("m", running=8, waits_ms=(0.0,) * 4)
        before = routing.expected_ms(target, NORMAL, HERE)
        target.outstanding[NORMAL] = 8
        after = routing.expected_ms(target, NORMAL, HERE)
        assert after >= before + target.announcement.service_ms

    def test_other_entries_are_taken_to_send_as_much(self):
        target = targets.minion("m", running=8, waits_ms=(0.0,) * 4)
        target.outstanding[NORMAL] = 4
        alone = routing.expected_ms(target, NORMAL, HERE)
        three = routing.Viewpoint("patan", entries=3)
        target.outstanding[NORMAL] = 12
        twelve = routing.expected_ms(target, NORMAL, HERE)
        target.outstanding[NORMAL] = 4
        assert routing.expected_ms(target, NORMAL, three) == twelve > alone

    def test_less_urgent_requests_do_not_delay_the_urgent(self):
        target = targets.minion("m", running=8, waits_ms=(0.0,) * 4)
        target.outstanding[messages.Urgency.BATCH] = 80
        wait = routing.expected_ms(target, messages.Urgency.CRITICAL, HERE)
        other = routing.expected_ms(target, messages.Urgency.BATCH, HERE)
        assert wait < other


class TestHasRoom:
    FULL = {"running": 8, "queued": 128, "sheds": messages.Urgency.BATCH}

    def test_only_the_class_that_yields_is_refused(self):
        full = targets.minion("m", **self.FULL)
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.0)
        assert routing.has_room(full, messages.Urgency.CRITICAL, 0.0)

    def test_a_queue_has_room_when_a_tenth_was_served(self):
        full = targets.minion("m", **self.FULL)
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.03)
        assert routing.has_room(full, messages.Urgency.BATCH, 0.04)

    def test_what_was_sent_since_takes_the_room(self):
        full = targets.minion("m", **self.FULL)
        full.outstanding[messages.Urgency.BATCH] = 20
        assert not routing.has_room(full, messages.Urgency.BATCH, 0.04)
