import json

import pytest

from pomelostair import errors
from pomelostair import settings

ENTRY = {
    "role": "entry",
    "name": "entry-1",
    "zone": "patan",
    "bus": "127.0.0.1:7001",
    "balancer": "127.0.0.1:8000",
    "platform": {"address": "127.0.0.1:9000"},
    "http": "127.0.0.1:8001",
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
        ],
    )
    def test_error_names_the_key(self, changes, key):
        with pytest.raises(errors.SettingsError) as caught:
            parse(**changes)
        assert caught.value.key == key
        assert caught.value.remedy

    def test_not_json(self):
        with pytest.raises(errors.SettingsError, match="JSON"):
            settings.parse(b"{")
