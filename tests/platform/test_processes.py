"""Tests entries and agents as processes against stand-ins of the platform."""

import signal
import time

import pytest

from pomelostair_standins import platformsite

WAIT_S = 20.0
STEPS = [
    {"count": 3, "cpu": 500, "memMb": 256, "estimateMs": 300},
    {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300, "after": [0]},
]


@pytest.fixture
def site(tmp_path):
    platform_site = platformsite.PlatformSite(tmp_path)
    try:
        platform_site.start()
        yield platform_site
    finally:
        platform_site.stop()


def wait_until(condition, wait_s=WAIT_S):
    deadline = time.monotonic() + wait_s
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def started_attempts(site):
    rows = []
    for number in range(len(site.sides)):
        rows += [tuple(row) for row in site.worker(number, "/history")]
    return [(row[0], row[1]) for row in rows]


def wait_until_completed(site, pipeline_id):
    wait_until(
        lambda: any(
            site.state(e, pipeline_id) == "completed" for e in site.entries
        )
    )


def find_leaders(site):
    """Returns for each entry whether it has led."""
    return [
        any(
            line["event_name"] == "PIPELINES_RECOVERED"
            for line in site.lines(f"edge-{number}")
        )
        for number in range(len(site.entries))
    ]


class TestCallers:
    def test_resubmitted_pipeline_runs_once_and_completes(self, site):
        one, other = site.entries
        pipeline_id = "00000000000000a1"
        assert site.submit(one, pipeline_id, STEPS) == 200
        assert site.submit(other, pipeline_id, STEPS) == 200
        wait_until_completed(site, pipeline_id)
        wait_until(lambda: site.state(other, pipeline_id) == "completed")
        assert sorted(started_attempts(site)) == sorted(
            (f"{pipeline_id}.0.{stage}.{index}", 1)
            for stage, count in enumerate((3, 2))
            for index in range(count)
        )

    def test_unknown_and_malformed_requests_are_rejected(self, site):
        front = f"{site.entries[0]}:{site.front}"
        unknown = f"{platformsite.PREFIX}00000000000000ff"
        assert site.call(front, "GET", unknown)[0] == 410
        assert site.call(front, "DELETE", unknown)[0] == 410
        assert site.call(front, "GET", "/none/00000000000000ff")[0] == 404
        assert site.call(front, "POST", unknown, {"steps": []})[0] == 400
        assert site.call(front, "PUT", unknown, {})[0] == 405

    def test_cancelled_pipeline_is_reported_cancelled(self, site):
        entry = site.entries[0]
        for number in range(len(site.sides)):
            site.worker(number, "/behaviour", {"lasting": True})
        pipeline_id = "00000000000000a2"
        steps = [{"count": 2, "cpu": 500, "perpetual": True}]
        assert site.submit(entry, pipeline_id, steps) == 200
        wait_until(lambda: len(started_attempts(site)) == 2)
        path = f"{platformsite.PREFIX}{pipeline_id}"
        front = f"{entry}:{site.front}"
        assert site.call(front, "DELETE", path)[0] == 200
        wait_until(lambda: site.state(entry, pipeline_id) == "cancelled")

    def test_pending_counts_pipelines_that_have_not_started(self, site):
        entry = site.entries[0]
        steps = [{"count": 1, "cpu": 900_000, "memMb": 1}]
        assert site.submit(entry, "00000000000000a3", steps) == 200
        front = f"{entry}:{site.front}"
        wait_until(
            lambda: (
                site.call(front, "GET", platformsite.PREFIX)
                == (200, {"pending": 1})
            )
        )

    def test_new_configuration_takes_effect(self, site):
        changed = platformsite.configuration(2, pathPrefix="/new/")
        assert site.configure(changed)
        for entry in site.entries:
            front = f"{entry}:{site.front}"
            path = "/new/00000000000000ff"
            wait_until(lambda f=front, p=path: site.call(f, "GET", p)[0] == 410)
            assert site.call(front, "GET", "/fit/00000000000000ff")[0] == 404


class TestFaults:
    def test_killed_leader_loses_and_repeats_no_task(self, site):
        for number in range(len(site.sides)):
            site.worker(number, "/behaviour", {"work_ms": 1500})
        pipeline_ids = [f"00000000000000b{n}" for n in range(4)]
        for name in pipeline_ids:
            assert site.submit(site.entries[0], name, STEPS) == 200
        wait_until(lambda: len(started_attempts(site)) >= 6)
        leader = find_leaders(site).index(True)
        site.kill(f"edge-{leader}")
        for name in pipeline_ids:
            wait_until_completed(site, name)
        runs = started_attempts(site)
        assert len(runs) == len(set(runs)) == 4 * 5

    def test_pipeline_completes_after_worker_crash(self, site):
        for number in range(len(site.sides)):
            site.worker(number, "/behaviour", {"work_ms": 1000})
        name = "00000000000000c1"
        assert site.submit(site.entries[0], name, STEPS) == 200
        wait_until(lambda: len(started_attempts(site)) == 3)
        site.kill("worker-0")
        site.start_worker(0)
        wait_until_completed(site, name)

    def test_restarted_agent_uses_its_worker_again(self, site):
        site.kill("side-0")
        site.start_agent(0)
        name = "00000000000000c2"
        assert site.submit(site.entries[0], name, STEPS) == 200
        wait_until_completed(site, name)

    def test_submissions_are_refused_only_during_store_outage(self, site):
        entry = site.entries[0]
        assert site.submit(entry, "00000000000000d1", STEPS) == 200
        wait_until_completed(site, "00000000000000d1")
        site.call(site.store, "POST", "/faults", {"down": True})
        wait_until(lambda: site.submit(entry, "00000000000000d2", STEPS) == 503)
        site.call(site.store, "POST", "/faults", {})
        wait_until(lambda: site.submit(entry, "00000000000000d2", STEPS) == 200)
        wait_until_completed(site, "00000000000000d2")


class TestSignals:
    def test_sighup_refuses_bad_and_applies_changed_settings(
        self, site, tmp_path
    ):
        path = tmp_path / "edge-0.conf"
        good = path.read_text()
        path.write_text(good.replace("zone=patan", "zone="))
        site.signal("edge-0", signal.SIGHUP)
        wait_until(
            lambda: any(
                line["event_name"] == "RELOAD_REFUSED"
                and "zone" in line["reason"]
                for line in site.lines("edge-0")
            )
        )
        path.write_text(good + "bounds.status_s=300\n")
        site.signal("edge-0", signal.SIGHUP)
        wait_until(
            lambda: any(
                line["event_name"] == "RELOADED"
                and line["changed"] == ["pipelines"]
                for line in site.lines("edge-0")
            )
        )
        assert site.is_ready(site.entries[0])

    def test_sigterm_ends_readiness_and_hands_over_the_lease(self, site):
        site.signal("edge-0", signal.SIGTERM)
        wait_until(lambda: not site.is_ready(site.entries[0]))
        assert site.wait("edge-0", 10) == 0
        name = "00000000000000e1"
        assert site.submit(site.entries[1], name, STEPS) == 200
        wait_until_completed(site, name)


class TestEvacuation:
    def test_no_start_in_the_zone_until_the_row_is_removed(self, tmp_path):
        """The leader is lost just after the row is written."""
        site = platformsite.PlatformSite(
            tmp_path,
            zones=("patan", "kirtipur"),
            settings={"bounds.evacuateMs": "5000"},
        )

        def run_and_count(name):
            before = len(site.worker(0, "/history"))
            elsewhere = len(site.worker(1, "/history"))
            assert site.submit(site.entries[other], name, STEPS) == 200
            wait_until_completed(site, name)
            return (
                len(site.worker(0, "/history")) - before,
                len(site.worker(1, "/history")) - elsewhere,
            )

        try:
            site.start()
            wait_until(lambda: any(find_leaders(site)))
            leader = find_leaders(site).index(True)
            other = 1 - leader
            assert run_and_count("00000000000000a1")[0]
            assert site.evacuate("patan")
            site.kill(f"edge-{leader}")
            wait_until(
                lambda: any(
                    line["event_name"] == "EVACUATION_BEGUN"
                    for line in site.lines(f"edge-{other}")
                )
            )
            assert run_and_count("00000000000000a2") == (0, 5)
            assert site.evacuate("patan", revoked=True)
            names = (f"000000000000b{n:03d}" for n in range(100))
            wait_until(lambda: run_and_count(next(names))[0])
        finally:
            site.stop()


class TestMetrics:
    def test_entries_and_agents_serve_metrics(self, site):
        assert site.submit(site.entries[0], "00000000000000f1", STEPS) == 200
        wait_until_completed(site, "00000000000000f1")
        for host in (site.entries[0], site.sides[0]):
            address = f"{host}:{site.metrics}"
            assert site.call(address, "GET", "/metrics")[0] == 200


class TestStart:
    def test_entry_becomes_leader_without_submissions(self, site):
        wait_until(
            lambda: any(
                line["event_name"] == "PIPELINES_RECOVERED"
                for number in range(len(site.entries))
                for line in site.lines(f"edge-{number}")
            )
        )
