import json
import pathlib
import re

import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import errors
from pomelostair import settings

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = [
    path.relative_to(ROOT) for path in sorted(ROOT.glob("examples/*/*.json"))
]
ENTRY = {
    "role": "entry",
    "name": "entry-1",
    "zone": "patan",
    "bus": "127.0.0.1:7001",
    "balancer": "127.0.0.1:8000",
    "platform": {"address": "127.0.0.1:9000"},
    "http": "127.0.0.1:8001",
}

AGENT = {
    **ENTRY,
    "role": "agent",
    "name": "agent-1",
    "cell": "main",
    "metrics": "127.0.0.1:8002",
    "log_level": "INFO",
    "timing": {
        "announce_ms": 500,
        "silent_ms": 2000,
        "cell_lease_ms": 3000,
        "drain_s": 30.0,
    },
    "target": {
        "kind": "worker",
        "address": "127.0.0.1:8003",
        "rack": "rack-1",
        "cores": 32.0,
        "memory_mb": 125_000,
        "accelerators": 0,
    },
}


def parse(**changes):
    return settings.parse(json.dumps({**ENTRY, **changes}).encode())


class TestParse:
    def test_entry(self):
        assert parse().role is settings.Role.ENTRY
        assert parse().platform.timeout_ms == 2000

    def test_agent_target(self):
        target = {"kind": "worker", "address": "127.0.0.1:1", "rack": "r1"}
        parsed = parse(role="agent", target=target)
        assert parsed.target == settings.WorkerTarget("127.0.0.1:1", "r1")

    @pytest.mark.parametrize(
        ("changes", "key"),
        [
            ({"colour": 1}, "$.colour"),
            ({"bus": "localhost:1"}, "$.bus"),
            ({"name": 3}, "$.name"),
            ({"timing": {"announce_ms": 0}}, "$.timing.announce_ms"),
            ({"timing": {"announce_ms": "1"}}, "$.timing.announce_ms"),
            ({"timing": {"pace": 1}}, "$.timing.pace"),
            ({"platform": {}}, "$.platform.address"),
            ({"role": "king"}, "$.role"),
            ({"role": "agent"}, "$.target"),
            ({"target": {"kind": "moon"}}, "$.target.kind"),
            ({"bus": "127.0.0.1:0"}, "$.bus"),
            ({"bus": "0.0.0.0:7001"}, "$.bus"),
            ({"bus": "127.0.0.1:\u0663"}, "$.bus"),
            ({"http": "127.0.0.1"}, "$.http"),
            ({"metrics": "127.0.0.1"}, "$.metrics"),
            ({"name": "x" * 200}, "$.name"),
            ({"name": ""}, "$.name"),
            ({"log_level": "LOUD"}, "$.log_level"),
            ({"timing": {"silent_ms": 500}}, "$.timing.silent_ms"),
            ({"timing": {"task_lease_ms": 500}}, "$.timing.task_lease_ms"),
            ({"timing": {"cell_lease_ms": 50}}, "$.timing.cell_lease_ms"),
            ({"target": AGENT["target"]}, "$.target"),
            (
                {**AGENT, "target": {**AGENT["target"], "accelerators": -1}},
                "$.target.accelerators",
            ),
            (
                {
                    **AGENT,
                    "target": {
                        "kind": "minion",
                        "address": "127.0.0.1:1",
                        "service": "rozlicz",
                        "slots": 8,
                        "connections": 4,
                    },
                },
                "$.target.connections",
            ),
        ],
    )
    def test_error_names_the_invalid_key(self, changes, key):
        with pytest.raises(errors.SettingsError) as caught:
            parse(**changes)
        assert caught.value.key == key
        assert caught.value.remedy

    def test_not_json(self):
        with pytest.raises(errors.SettingsError, match="JSON"):
            settings.parse(b"{")


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)


class TestFuzz:
    def test_infinite_duration_is_rejected(self):
        document = json.dumps({**ENTRY, "timing": {"drain_s": 1}})
        document = document.replace('"drain_s": 1', '"drain_s": 1e999')
        with pytest.raises(errors.SettingsError):
            settings.parse(document.encode())

    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_settings_or_a_typed_error(self, data):
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(data)
        assert caught.value.remedy

    @pytest.mark.parametrize("text", ["Infinity", "-Infinity", "NaN"])
    def test_number_that_is_no_json_is_named_by_its_place(self, text):
        document = json.dumps({**AGENT, "balancer": 1}).replace(
            '"balancer": 1', f'"balancer": {text}'
        )
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(document.encode())
        letter = document.index(text.lstrip("-"))
        assert f"byte {letter})" in caught.value.remedy

    @given(JSON)
    def test_any_document_is_a_typed_error(self, document):
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(json.dumps(document).encode())
        assert caught.value.remedy

    @given(strategies.sampled_from(sorted(AGENT)), JSON)
    def test_any_value_of_a_key(self, key, value):
        try:
            parse(**{**AGENT, key: value})
        except errors.SettingsError as error:
            assert error.key.startswith(f"$.{key}") or key == "role"
            assert error.remedy

    @given(
        strategies.sampled_from(["timing", "target", "platform"]),
        strategies.data(),
    )
    def test_any_value_of_an_inner_key(self, outer, data):
        inner = AGENT[outer]
        key = data.draw(strategies.sampled_from(sorted(inner)))
        changed = {**inner, key: data.draw(JSON)}
        try:
            parse(**{**AGENT, outer: changed})
        except errors.SettingsError as error:
            assert error.key.startswith(f"$.{outer}")
            assert error.remedy


class TestExamples:
    @pytest.mark.parametrize("path", EXAMPLES, ids=str)
    def test_example_is_valid(self, path):
        assert settings.load(str(ROOT / path)).zone

    def test_both_sites_have_an_example_of_each_process(self):
        kinds = {"entry.json", "agent-minion.json", "agent-worker.json"}
        found = {(path.parent.name, path.name) for path in EXAMPLES}
        assert found == {
            (name, kind) for name in ("kantipur", "rozlicz") for kind in kinds
        }

    def test_documentation_describes_every_key(self):
        page = (ROOT / "examples/README.md").read_text()
        for kind in (
            settings.Settings,
            settings.Timing,
            settings.Platform,
            settings.MinionTarget,
            settings.WorkerTarget,
            settings.Pipelines,
        ):
            for field in attrs.fields(kind):
                assert re.search(rf"`([a-z]+\.)?{field.name}`", page) or (
                    field.name in ("platform", "target", "timing", "pipelines")
                ), field.name
