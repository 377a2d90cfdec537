import json
import signal
import subprocess
import sys
import time

import pytest

from pomelostair_standins import site
from tests import caller

ROLES = {"platform", "balancer", "relay", "entry", "agent", "minion", "worker"}


class TestMain:
    @pytest.mark.parametrize("inherited", [signal.SIG_DFL, signal.SIG_IGN])
    def test_lists_processes_and_stops_when_interrupted_twice(self, inherited):
        """Guards against a site that can't be stopped.

        A shell starts programs in the background with SIGINT ignored.
        """
        command = [sys.executable, "-m", "pomelostair_standins.site"]
        command += ["--entries", "1", "--minions", "1", "--workers", "1"]
        own = signal.signal(signal.SIGINT, inherited)
        try:
            launcher = subprocess.Popen(
                [*command, "--links"], stdout=subprocess.PIPE, text=True
            )
        finally:
            signal.signal(signal.SIGINT, own)
        try:
            line = json.loads(launcher.stdout.readline())
            rows = line["processes"]
            assert {row["role"] for row in rows} == ROLES
            assert all(row["pid"] and row["addresses"] for row in rows)
            fit = "/services/clapper-desk/fit"
            assert caller.eventually(
                lambda: caller.call(line["balancer"], "GET", fit).status == 200
            )
            agent = next(row for row in rows if row["role"] == "agent")
            response = caller.call(
                agent["addresses"]["metrics"], "GET", "/metrics"
            )
            assert b"pomelostair_" in response.body
        finally:
            launcher.send_signal(signal.SIGINT)
            time.sleep(0.5)
            launcher.send_signal(signal.SIGINT)
            launcher.communicate(timeout=60)
        assert launcher.returncode == 0
        assert all(is_unreachable(row["addresses"]) for row in rows)


def is_unreachable(addresses):
    http = addresses.get("http")
    return http is None or caller.call(http, "GET", "/healthz").status == 0


class TestSite:
    def test_suspended_entry_does_not_affect_the_other(self):
        shape = site.Shape(entries=2, minions=1, workers=0)
        fit = "/services/clapper-desk/fit"
        with site.running(shape) as running:
            for entry in running.entries:
                assert caller.eventually(
                    lambda entry=entry: (
                        caller.call(entry, "GET", fit).status == 200
                    )
                )
            running.freeze("entry-1")
            statuses = [
                caller.call(running.entries[1], "GET", fit).status
                for _ in range(100)
            ]
            running.thaw("entry-1")
            assert statuses == [200] * 100
            assert caller.eventually(
                lambda: (
                    caller.call(running.entries[0], "GET", fit).status == 200
                )
            )
