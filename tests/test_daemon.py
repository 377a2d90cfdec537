import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from pomelostair import daemon
from pomelostair_standins import site
from tests import caller


def settings_document(**changes):
    settings = {
        "role": "agent",
        "name": "agent-1",
        "zone": "patan",
        "bus": site.free_address(),
        "balancer": site.free_address(),
        "platform": {"address": site.free_address()},
        "metrics": site.free_address(),
        "target": {
            "kind": "minion",
            "address": site.free_address(),
            "service": "clapper-desk",
        },
    }
    settings.update(changes)
    return settings


@pytest.fixture
def write(tmp_path):
    def write_settings(**changes):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings_document(**changes)))
        return path

    return write_settings


@pytest.fixture
def start(write):
    processes = []

    def start_daemon(**changes):
        path = write(**changes)
        process = subprocess.Popen(
            [sys.executable, "-m", "pomelostair.daemon", "--settings", path],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        processes.append(process)
        return process, json.loads(path.read_text())

    yield start_daemon
    for process in processes:
        process.kill()
        process.communicate()


def is_healthy(settings):
    address = settings.get("metrics") or settings["http"]
    return caller.eventually(
        lambda: caller.call(address, "GET", "/healthz").status == 200
    )


class TestMain:
    def test_check_of_valid_settings(self, write, capsys):
        code = daemon.main(["--settings", str(write()), "--check"])
        assert code == 0
        assert "usable" in capsys.readouterr().out

    def test_invalid_settings_name_key_value_and_remedy(self, write, capsys):
        code = daemon.main(["--settings", str(write(colour="blue")), "--check"])
        assert code == daemon.EXIT_BAD_SETTINGS
        shown = capsys.readouterr().err
        assert "$.colour" in shown
        assert "blue" in shown
        assert "remove this key" in shown

    def test_missing_settings_file_is_an_error(self, tmp_path, capsys):
        code = daemon.main(["--settings", str(tmp_path / "none"), "--check"])
        assert code == daemon.EXIT_BAD_SETTINGS
        assert "readable file" in capsys.readouterr().err


class TestSignals:
    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    def test_first_signal_stops_gracefully(self, start, number):
        process, settings = start()
        assert is_healthy(settings)
        process.send_signal(number)
        lines, _ = process.communicate(timeout=30)
        assert process.returncode == 0
        assert '"STOPPED"' in lines

    def test_second_signal_terminates_immediately(self, start):
        process, settings = start(
            role="entry", http=site.free_address(), metrics=None, target=None
        )
        assert is_healthy(settings)
        host, _, port = settings["http"].rpartition(":")
        with socket.create_connection((host, int(port))) as open_request:
            open_request.sendall(
                b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\n"
                b"content-length: 9\r\n\r\n"
            )
            process.send_signal(signal.SIGTERM)
            assert caller.eventually(
                lambda: (
                    "DRAINING"
                    in os.read(process.stdout.fileno(), 65536).decode()
                )
            )
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=10)
        assert process.returncode == daemon.EXIT_SIGNAL_BASE + signal.SIGTERM

    def test_drain_over_its_time_limit_is_ended(self, start):
        process, settings = start(
            role="entry",
            http=site.free_address(),
            metrics=None,
            target=None,
            timing={"drain_s": 0.2},
        )
        assert is_healthy(settings)
        host, _, port = settings["http"].rpartition(":")
        with socket.create_connection((host, int(port))) as open_request:
            open_request.sendall(
                b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\n"
                b"content-length: 9\r\n\r\n"
            )
            assert caller.eventually(lambda: open_connections(settings) >= 1)
            process.send_signal(signal.SIGTERM)
            lines, _ = process.communicate(timeout=30)
        assert process.returncode == daemon.EXIT_STOP_TIMED_OUT, lines


def open_connections(settings):
    shown = caller.call(settings["http"], "GET", "/metrics").body.decode()
    for line in shown.splitlines():
        if line.startswith("pomelostair_open_connections"):
            return float(line.split()[-1]) - 1
    return 0


class TestStart:
    @pytest.mark.parametrize("key", ["bus", "metrics"])
    def test_error_for_an_address_in_use_names_the_remedy(self, start, key):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            process, _ = start(**{key: address})
            _, shown = process.communicate(timeout=30)
        assert process.returncode == daemon.EXIT_CANNOT_START
        assert address in shown
        assert "free address" in shown
