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


def freed(chosen):
    free = FREE
    for candidate in chosen:
        free = accounting.add(free, candidate.size)
    return free


class TestChoose:
    @given(needs, candidates)
    def test_frees_enough_or_nothing_would(self, need, given_candidates):
        chosen = eviction.choose_victims(need, FREE, given_candidates)
        if chosen is None:
            assert not accounting.fits(need, freed(given_candidates))
        else:
            assert accounting.fits(need, freed(chosen))

    @given(needs, candidates)
    def test_evicts_nobody_in_vain(self, need, given_candidates):
        chosen = eviction.choose_victims(need, FREE, given_candidates) or ()
        for candidate in chosen:
            rest = [c for c in chosen if c != candidate]
            assert not accounting.fits(need, freed(rest))

    @given(needs, candidates)
    def test_spares_a_class_that_others_can_spare(self, need, found):
        chosen = eviction.choose_victims(need, FREE, found) or ()
        if not chosen:
            return
        most_urgent = min(c.urgency for c in chosen)
        less = [c for c in found if c.urgency > most_urgent]
        assert not accounting.fits(need, freed(less))
