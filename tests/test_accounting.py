from hypothesis import stateful
from hypothesis import strategies

from pomelostair import accounting
from pomelostair import messages

CAPACITY = messages.Size(32.0, 125_000, 4)

sizes = strategies.builds(
    messages.Size,
    strategies.integers(0, 40).map(lambda n: n / 2),
    strategies.integers(0, 130_000),
    strategies.integers(0, 5),
)
keys = strategies.integers(0, 8)


class AccountMachine(stateful.RuleBasedStateMachine):
    """Compares an account with a dict of sizes that is summed each time."""

    def __init__(self):
        super().__init__()
        self.account = accounting.Account("w", "z", "r", CAPACITY)
        self.sizes = {}

    @stateful.rule(key=keys, size=sizes)
    def assign(self, key, size):
        self.account.assign(key, size)
        self.sizes[key] = size

    @stateful.rule(key=keys)
    def release(self, key):
        self.account.release(key)
        self.sizes.pop(key, None)

    @stateful.rule(size=sizes)
    def fit(self, size):
        assigned = list(self.sizes.values())
        fits = (
            sum(s.cores for s in assigned) + size.cores <= CAPACITY.cores
            and sum(s.memory_mb for s in assigned) + size.memory_mb
            <= CAPACITY.memory_mb
            and sum(s.accelerators for s in assigned) + size.accelerators
            <= CAPACITY.accelerators
        )
        assert accounting.fits(size, self.account.free) is fits

    @stateful.invariant()
    def assigned_sizes_match(self):
        assert self.account.assigned == self.sizes


TestAccount = AccountMachine.TestCase


class TestChargedSize:
    def test_lies_between_usage_and_reservation(self):
        reserved = messages.Size(4, 1000)
        small = accounting.charged_size(reserved, messages.Size(1, 100))
        assert (small.cores, small.memory_mb) == (1.1, 110)
        large = accounting.charged_size(reserved, messages.Size(6, 2000))
        assert (large.cores, large.memory_mb) == (6, 2000)

    def test_is_at_least_the_estimate_within_the_reservation(self):
        charged = accounting.charged_size(
            messages.Size(4, 1000), messages.Size(1, 100), messages.Size(3, 50)
        )
        assert (charged.cores, charged.memory_mb) == (3, 110)
