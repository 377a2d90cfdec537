import random

import attrs
import curio
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import configtable
from pomelostair import declaration
from pomelostair import outcome
from pomelostair import store
from tests import randomfaulttable

OPERATORS = 4
CHANGES = 5


class NaiveTable:
    """Writes what it edited without a condition, as a naive version would."""

    def __init__(self, table):
        self._table = table

    async def change(self, edit, at_least, expected=None):
        found = await self._table.read(configtable.KEY)
        if isinstance(found, outcome.Unavailable):
            return outcome.Refused(outcome.Kind.STORE_UNAVAILABLE, "repeat")
        before = declaration.InForce()
        if isinstance(found, store.Found):
            before = configtable.decode(found.row.value)
        after = attrs.evolve(edit(before), version=before.version + 1)
        put = store.Put(configtable.KEY, configtable.encode(after))
        result = await self._table.commit(store.Transaction(puts=(put,)))
        if isinstance(result, outcome.Committed):
            return configtable.Accepted(before, after)
        return outcome.Refused(outcome.Kind.STORE_UNAVAILABLE, "repeat")


def adds_team(name):
    def edit(current):
        teams = (*current.declarations.teams, declaration.Team(name))
        declarations = attrs.evolve(current.declarations, teams=teams)
        return attrs.evolve(current, declarations=declarations)

    return edit


async def history(cls, seed):
    """Returns what racing operators were told, and the last accepted row."""
    generator = random.Random(seed)
    table = randomfaulttable.RandomFaultTable(generator)
    told = {}

    async def operate(operator):
        known = 0
        for index in range(CHANGES):
            name = f"t-{operator}-{index}"
            expected = generator.choice((None, None, known))
            result = await cls(table).change(adds_team(name), known, expected)
            told[name] = result
            if isinstance(result, configtable.Accepted):
                known = max(known, result.after.version)

    async with curio.TaskGroup() as group:
        for operator in range(OPERATORS):
            await group.spawn(operate, operator)
    for _ in range(50):
        await curio.sleep(0)
    row = await table.read_without_faults(configtable.KEY)
    last = declaration.InForce()
    if isinstance(row, store.Found):
        last = configtable.decode(row.row.value)
    return told, last


def faults(told, last):
    """Returns what a history breaks."""
    found = []
    versions = set()
    teams = [team.name for team in last.declarations.teams]
    for name, result in told.items():
        match result:
            case configtable.Accepted(after=after):
                if name not in teams:
                    found.append(f"{name} was accepted and is gone")
                if after.version in versions:
                    found.append(f"version {after.version} accepted twice")
                versions.add(after.version)
            case outcome.Refused(ran=outcome.Ran.NO) if name in teams:
                found.append(f"{name} was refused and is there")
    if last.version != len(teams):
        found.append(f"{last.version} versions for {len(teams)} changes")
    return found


@pytest.fixture(autouse=True)
def _short_pause(monkeypatch):
    monkeypatch.setattr(configtable, "SETTLE_PAUSE_S", 0)


class TestConfigTable:
    @given(strategies.integers(0, 2**32))
    def test_races_and_faults_never_lose_or_double_a_change(self, seed):
        told, last = curio.run(history, configtable.ConfigTable, seed)
        assert faults(told, last) == []

    def test_the_checker_catches_a_naive_version(self):
        broken = [
            faults(*curio.run(history, NaiveTable, seed)) for seed in range(20)
        ]
        assert sum(1 for found in broken if found) > 10

    def test_racing_operators_get_one_conflict(self):
        async def race():
            table = store.MemoryTable()
            configs = configtable.ConfigTable(table)
            async with curio.TaskGroup() as group:
                for name in ("a", "b"):
                    await group.spawn(configs.change, adds_team(name), 0, 0)
            return group.results

        results = curio.run(race)
        refused = [r for r in results if isinstance(r, outcome.Refused)]
        assert [r.kind for r in refused] == [outcome.Kind.CONFLICT]
        assert refused[0].ran is outcome.Ran.NO

    def test_answer_older_than_what_is_known_is_not_edited(self):
        configs = configtable.ConfigTable(store.MemoryTable())
        result = curio.run(configs.change, adds_team("a"), 7)
        assert result.kind is outcome.Kind.STORE_UNAVAILABLE

    def test_unchanged_configuration_keeps_its_version(self):
        configs = configtable.ConfigTable(store.MemoryTable())
        result = curio.run(configs.change, lambda current: current, 0)
        assert result.after.version == 0
