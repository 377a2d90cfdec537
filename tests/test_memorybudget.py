import pytest

from pomelostair import log
from pomelostair import memorybudget
from pomelostair import metrics

MIB = 1024 * 1024


class TestMemoryBudget:
    def test_reserves_no_more_than_the_total(self):
        budget = memorybudget.MemoryBudget(10)
        assert budget.reserve(7)
        assert not budget.reserve(4)
        assert budget.reserve(3)
        budget.release(7)
        assert budget.reserved_bytes == 3
        assert budget.reserve(7)

    def test_releasing_too_much_is_an_error(self):
        """Guards against a budget that grows by a double release."""
        budget = memorybudget.MemoryBudget(10)
        budget.reserve(2)
        with pytest.raises(ValueError, match="exceed"):
            budget.release(3)


class TestReservation:
    def test_keeps_its_size_if_the_budget_is_exhausted(self):
        budget = memorybudget.MemoryBudget(10)
        one = memorybudget.Reservation(budget)
        other = memorybudget.Reservation(budget)
        assert one.resize(6)
        assert other.resize(4)
        assert not other.resize(5)
        assert other.size == 4
        assert one.resize(0)
        assert other.resize(10)


class TestLimitLog:
    def test_counts_all_and_logs_at_a_bounded_rate(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            log, "emit", lambda _event, **fields: lines.append(fields)
        )
        now = [0.0]
        registry = metrics.Metrics()
        limits = memorybudget.LimitLog(registry, lambda: now[0])
        for _ in range(100):
            limits.record("callers", "memory")
        limits.record("callers", "body")
        now[0] = memorybudget.LOG_INTERVAL_S
        limits.record("callers", "memory")
        counts = [(line["limit"], line["count"]) for line in lines]
        assert counts == [("memory", 1), ("body", 1), ("memory", 100)]
        series = b'limits_reached_total{limit="memory",place="callers"} 101.0'
        assert series in registry.exposition()


class TestBounds:
    @pytest.mark.parametrize("memory_mb", [80, 168, 200, 552])
    @pytest.mark.parametrize("max_fds", [400, 4096, 8192])
    def test_fit_into_memory_and_descriptors(self, memory_mb, max_fds):
        bounds = memorybudget.derive(memory_mb, max_fds)
        held = sum(
            budget.total_bytes
            for budget in (bounds.callers, bounds.readiness, bounds.metrics)
        )
        assert held <= memory_mb * MIB * memorybudget.CALLERS_SHARE
        usable = max_fds - memorybudget.RESERVED_FDS
        used = bounds.max_callers + bounds.max_readiness_connections
        assert used <= usable // 2
        assert memorybudget.FDS_PER_PEER * bounds.max_peers <= usable

    def test_leave_room_for_the_design_load_of_a_small_entry(self):
        """300 agents and 14 entries, and callers far above 10 a second."""
        bounds = memorybudget.derive(200, 4096)
        assert bounds.max_peers > 314
        assert bounds.max_callers > 1000

    def test_leader_of_1000_agents_closes_none_of_them(self):
        """Guards against a leader that evicts agents which it instructs."""
        assert memorybudget.derive(552, 4100).max_peers > 1000 + 14
