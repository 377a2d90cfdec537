import pytest

from pomelostair import errors
from pomelostair import settings as settings_module
from pomelostair.platform import settingsfile

ENTRY_FILE = """
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
bounds.remoteFactor=1.5
platform.address=10.200.1.7:8169
platform.writesPerS=800
some.new.key=1
"""
AGENT_FILE = """
nodeName=side-patan-1
serves=side
ip=10.1.0.14
zone=patan
listen.control=10.1.0.14:8166
portRange=7720,7735
seeds=
platform.address=10.200.1.7:8169
"""


def parse_settings(text):
    return settingsfile.to_settings(settingsfile.parse("boot.conf", text))


class TestSettings:
    def test_entry_settings_are_converted(self):
        settings = parse_settings(ENTRY_FILE)
        assert settings.role is settings_module.Role.PIPELINE_ENTRY
        assert settings.bus == "10.1.0.13:7720"
        assert settings.metrics == "10.1.0.13:7721"
        assert settings.pipelines.callers == "10.1.0.13:8161"
        assert settings.pipelines.seeds == (
            "tcp://10.1.0.13:7720",
            "tcp://10.2.0.30:7720",
        )
        assert settings.pipelines.hold_ms == 4000
        assert settings.pipelines.remote_factor == 1.5
        assert settings.pipelines.retention_s >= 120
        assert settings.timing.drain_s < 6
        assert settings.platform.writes_per_s == 800
        assert settings.pipelines.evacuate_ms == 0

    def test_what_is_not_shown_to_help_is_off(self):
        pipelines = parse_settings(ENTRY_FILE).pipelines
        assert not (pipelines.learn_speeds or pipelines.learn_run_times)
        assert not pipelines.cold_workers

    def test_bound_of_cold_workers_makes_them_count(self):
        settings = parse_settings(ENTRY_FILE + "bounds.coldOverrun=1.2\n")
        assert settings.pipelines.cold_workers

    def test_bound_of_an_evacuation_is_converted(self):
        settings = parse_settings(ENTRY_FILE + "bounds.evacuateMs=5000\n")
        assert settings.pipelines.evacuate_ms == 5000

    def test_limits_of_the_machine_are_read(self):
        settings = parse_settings(
            ENTRY_FILE + "limits.memoryMb=552\nlimits.maxFds=8192\n"
        )
        assert (settings.memory_mb, settings.max_fds) == (552, 8192)
        default = parse_settings(ENTRY_FILE)
        assert (default.memory_mb, default.max_fds) == (200, 4096)

    def test_agent_settings_are_converted(self):
        settings = parse_settings(AGENT_FILE)
        assert settings.role is settings_module.Role.PIPELINE_AGENT
        assert settings.pipelines.workers == "10.1.0.14:8166"
        assert settings.pipelines.seeds == ()
        assert settings.pipelines.remote_factor == 1
        assert settings.pipelines.hold_ms == settingsfile.MAX_WORKER_LEASE_MS
        assert (
            settings.platform.writes_per_s
            == settings_module.DEFAULT_WRITES_PER_S
        )

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
    def test_invalid_line_error_names_key_and_remedy(self, before, after, key):
        with pytest.raises(errors.SettingsError) as caught:
            parse_settings(ENTRY_FILE.replace(before, after))
        assert caught.value.key == key
        assert caught.value.remedy

    def test_missing_file_error_names_path(self, tmp_path):
        path = str(tmp_path / "none.conf")
        with pytest.raises(errors.SettingsError) as caught:
            settingsfile.load(path)
        assert path in str(caught.value)
