import pytest

from pomelostair import errors
from pomelostair import settings as settings_module
from pomelostair.platform import lines

ENTRY = """
nodeName=edge-patan-1
serves=edge,control_plane
ip=10.1.0.13
zone=patan
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
listen.control=10.1.0.13:8166
portRange=7720,7735
seeds=10.1.0.13:8166,10.2.0.30:8166
bounds.graceS=6
bounds.holdMaxMs=4000
bounds.status_s=120
platform.address=10.200.1.7:8169
some.new.key=1
"""
AGENT = """
nodeName=side-patan-1
serves=side
ip=10.1.0.14
zone=patan
listen.control=10.1.0.14:8166
portRange=7720,7735
seeds=
platform.address=10.200.1.7:8169
"""


def settings(text):
    return lines.settings(lines.parse("boot.conf", text))


class TestSettings:
    def test_entry(self):
        found = settings(ENTRY)
        assert found.role is settings_module.Role.PIPELINE_ENTRY
        assert found.bus == "10.1.0.13:7720"
        assert found.metrics == "10.1.0.13:7721"
        assert found.pipelines.callers == "10.1.0.13:8161"
        assert found.pipelines.seeds == (
            "tcp://10.1.0.13:7720",
            "tcp://10.2.0.30:7720",
        )
        assert found.pipelines.hold_ms == 4000
        assert found.pipelines.retention_s >= 120
        assert found.timing.drain_s < 6

    def test_agent(self):
        found = settings(AGENT)
        assert found.role is settings_module.Role.PIPELINE_AGENT
        assert found.pipelines.workers == "10.1.0.14:8166"
        assert found.pipelines.seeds == ()
        assert found.pipelines.hold_ms == lines.HOLD_MS

    @pytest.mark.parametrize(
        ("before", "after", "key"),
        [
            ("ip=10.1.0.13\n", "", "ip"),
            ("zone=patan", "zone=", "zone"),
            ("bounds.graceS=6", "bounds.graceS=six", "bounds.graceS"),
            ("serves=edge,control_plane", "serves=control_plane", "serves"),
            ("listen.front=10.1.0.13:8161", "", "listen.front"),
            ("nodeName=edge-patan-1", "nonsense", "line 2"),
            ("portRange=7720,7735", "portRange=x", "portRange"),
        ],
    )
    def test_bad_line_names_key_and_remedy(self, before, after, key):
        with pytest.raises(errors.SettingsError) as caught:
            settings(ENTRY.replace(before, after))
        assert caught.value.key == key
        assert caught.value.remedy

    def test_missing_file_names_the_path(self, tmp_path):
        path = str(tmp_path / "none.conf")
        with pytest.raises(errors.SettingsError) as caught:
            lines.load(path)
        assert path in str(caught.value)
