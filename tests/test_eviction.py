from hypothesis import given
from hypothesis import strategies

from pomelostair import accounting
from pomelostair import eviction
from pomelostair import messages

candidates = strategies.lists(
    strategies.builds(
        eviction.Candidate,
        strategies.integers(0, 99).map(lambda n: f"j/{n}"),
        strategies.just(1),
        strategies.sampled_from(messages.Urgency),
        strategies.booleans(),
        strategies.sampled_from((0.0, 0.5, 0.9)),
        strategies.builds(
            messages.Size,
            strategies.integers(1, 8),
            strategies.integers(0, 9),
        ),
    ),
    max_size=8,
    unique_by=lambda c: c.task,
)
needs = strategies.builds(
    messages.Size, strategies.integers(0, 20), strategies.integers(0, 20)
)
FREE = messages.Size(1, 1)


def free_after(chosen):
    free = FREE
    for candidate in chosen:
        free = accounting.add(free, candidate.size)
    return free


class TestChoose:
    @given(needs, candidates)
    def test_frees_enough_unless_all_candidates_are_too_small(
        self, need, running
    ):
        chosen = eviction.choose_victims(need, FREE, running)
        if chosen is None:
            assert not accounting.fits(need, free_after(running))
        else:
            assert accounting.fits(need, free_after(chosen))

    @given(needs, candidates)
    def test_every_victim_is_needed(self, need, running):
        chosen = eviction.choose_victims(need, FREE, running) or ()
        for candidate in chosen:
            rest = [c for c in chosen if c != candidate]
            assert not accounting.fits(need, free_after(rest))

    @given(needs, candidates)
    def test_more_urgent_class_is_evicted_only_if_needed(self, need, running):
        chosen = eviction.choose_victims(need, FREE, running) or ()
        if not chosen:
            return
        most_urgent = min(c.urgency for c in chosen)
        less_urgent = [c for c in running if c.urgency > most_urgent]
        assert not accounting.fits(need, free_after(less_urgent))
