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
    """Writes the edited configuration without a compare-and-set check."""

    def __init__(self, table):
        self._table = table

    async def change(self, edit, min_version, expected=None):
        row = await self._table.read(configtable.ROW_KEY)
        if isinstance(row, outcome.Unavailable):
            return outcome.Refused(outcome.Kind.STORE_UNAVAILABLE, "repeat")
        before = declaration.VersionedConfiguration()
        if isinstance(row, store.Found):
            before = configtable.decode(row.row.value)
        after = attrs.evolve(edit(before), version=before.version + 1)
        put = store.Put(configtable.ROW_KEY, configtable.encode(after))
        result = await self._table.commit(store.Transaction(puts=(put,)))
        if isinstance(result, outcome.Committed):
            return configtable.Accepted(before, after)
        return outcome.Refused(outcome.Kind.STORE_UNAVAILABLE, "repeat")


def add_team(name):
    def edit(current):
        teams = (*current.declarations.teams, declaration.Team(name))
        declarations = attrs.evolve(current.declarations, teams=teams)
        return attrs.evolve(current, declarations=declarations)

    return edit


async def run_racing_operators(cls, seed):
    """Runs concurrent changes over a table with random faults.

    Returns:
        The result of each change by the name of its team, and the
        configuration that is stored at the end.
    """
    generator = random.Random(seed)
    table = randomfaulttable.RandomFaultTable(generator)
    results = {}

    async def operate(operator):
        known_version = 0
        for index in range(CHANGES):
            name = f"t-{operator}-{index}"
            expected = generator.choice((None, None, known_version))
            result = await cls(table).change(
                add_team(name), known_version, expected
            )
            results[name] = result
            if isinstance(result, configtable.Accepted):
                known_version = max(known_version, result.after.version)

    async with curio.TaskGroup() as group:
        for operator in range(OPERATORS):
            await group.spawn(operate, operator)
    for _ in range(50):
        await curio.sleep(0)
    row = await table.read_without_faults(configtable.ROW_KEY)
    last = declaration.VersionedConfiguration()
    if isinstance(row, store.Found):
        last = configtable.decode(row.row.value)
    return results, last


def find_violations(results, last):
    """Returns the guarantees that the results violate."""
    violations = []
    versions = set()
    teams = [team.name for team in last.declarations.teams]
    for name, result in results.items():
        match result:
            case configtable.Accepted(after=after):
                if name not in teams:
                    violations.append(f"{name} was accepted but is missing")
                if after.version in versions:
                    violations.append(
                        f"version {after.version} was accepted twice"
                    )
                versions.add(after.version)
            case outcome.Refused(ran=outcome.Ran.NO) if name in teams:
                violations.append(f"{name} was refused but is present")
    if last.version != len(teams):
        violations.append(f"{last.version} versions for {len(teams)} changes")
    return violations


@pytest.fixture(autouse=True)
def _short_pause(monkeypatch):
    monkeypatch.setattr(configtable, "RESOLVE_RETRY_S", 0)


class TestConfigTable:
    @given(strategies.integers(0, 2**32))
    def test_races_and_faults_never_lose_or_repeat_a_change(self, seed):
        results, last = curio.run(
            run_racing_operators, configtable.ConfigTable, seed
        )
        assert find_violations(results, last) == []

    def test_violations_of_an_unconditional_write_are_detected(self):
        broken = [
            find_violations(*curio.run(run_racing_operators, NaiveTable, seed))
            for seed in range(20)
        ]
        assert sum(1 for found in broken if found) > 10

    def test_racing_operators_get_one_conflict(self):
        async def race():
            table = store.MemoryTable()
            configs = configtable.ConfigTable(table)
            async with curio.TaskGroup() as group:
                for name in ("a", "b"):
                    await group.spawn(configs.change, add_team(name), 0, 0)
            return group.results

        results = curio.run(race)
        refused = [r for r in results if isinstance(r, outcome.Refused)]
        assert [r.kind for r in refused] == [outcome.Kind.CONFLICT]
        assert refused[0].ran is outcome.Ran.NO

    def test_read_older_than_the_known_version_is_not_edited(self):
        configs = configtable.ConfigTable(store.MemoryTable())
        result = curio.run(configs.change, add_team("a"), 7)
        assert result.kind is outcome.Kind.STORE_UNAVAILABLE

    def test_unchanged_configuration_keeps_its_version(self):
        configs = configtable.ConfigTable(store.MemoryTable())
        result = curio.run(configs.change, lambda current: current, 0)
        assert result.after.version == 0
