"""Takeover of a cell by real processes, checked by its log and its workers."""

import contextlib
import threading
import time

import curio
import pytest

from pomelostair import cell as cell_module
from pomelostair import celllog
from pomelostair import clock as clock_module
from pomelostair import httpclient
from pomelostair.platform import store as platform_store
from pomelostair_standins import site
from tests import caller
from tests import leaders
from tests import loghistory

TIMING = {
    "announce_ms": 200,
    "silent_ms": 1000,
    "join_ms": 500,
    "cell_lease_ms": 1500,
    "campaign_ms": 300,
    "task_lease_ms": 2500,
    "lease_margin_ms": 500,
    "store_grace_s": 10,
}
WORKERS = ("worker-1", "worker-2", "worker-3")


class SiteClient:
    """Submits jobs to a site and checks its log against its workers' starts."""

    def __init__(self, running):
        self.site = running
        self.accepted = []

    def submit(self, job_id, **spec):
        """Submits a job until it is accepted."""
        job = {"id": job_id, "kind": "netting", "run_s": 0.3, **spec}

        def accepted():
            answer = caller.call(self.site.balancer, "POST", "/v1/jobs", job)
            return answer.status == 202

        assert caller.eventually(accepted, 60), job_id
        self.accepted.append(job_id)

    def view(self, job_id):
        answer = caller.call(self.site.balancer, "GET", f"/v1/jobs/{job_id}")
        return answer.json() if answer.status == 200 else {"state": "unread"}

    def wait_for_state(self, job_id, state="completed"):
        def done():
            return self.view(job_id)["state"] == state

        assert caller.eventually(done, 60), self.view(job_id)

    def read_lease(self):
        return curio.run(self._log().read_lease).row

    def fail_leader(self, fault):
        """Makes the leader fail; returns its name once another agent leads."""
        before = self.read_lease()
        if fault == "terminate":
            process = self.site.processes[before.holder].popen
            process.terminate()
            process.wait(30)
        else:
            getattr(self.site, fault)(before.holder)

        def taken():
            row = self.read_lease()
            return row.epoch > before.epoch and row

        assert caller.eventually(taken, 30)
        return before.holder

    def set_platform_faults(self, **faults):
        answer = caller.call(self.site.platform, "POST", "/faults", faults)
        assert answer.status == 200

    def open_runs(self):
        return [run for run in self.runs() if run.end_s is None]

    def runs(self):
        runs = []
        for name in WORKERS:
            address = self.site.processes[name].addresses["http"]
            rows = caller.call(address, "GET", "/history").json()
            runs += _runs(f"agent-{name}", rows)
        return runs

    def violations(self):
        return loghistory.violations(
            curio.run(self._events), self.runs(), self.accepted
        )

    def _log(self):
        counters = leaders.FakeMetrics()
        client = httpclient.Client(self.site.platform, 1)
        table = platform_store.RowsTable(client, client, counters, 5.0)
        objects = platform_store.BlobObjects(client, 5.0)
        clock = clock_module.MonotonicClock()
        return celllog.CellLog(table, objects, clock, "main", "r", "r", 1.0)

    async def _events(self):
        log = self._log()
        log._row = (await log.read_lease()).row
        return list((await log.replay()).events)


def _runs(worker, rows):
    runs = {}
    for row in rows:
        key = (row["task"], row["attempt"])
        if row["action"] == "start":
            runs[key] = loghistory.AttemptRun(*key, worker, row["at_s"])
        elif key in runs and runs[key].end_s is None:
            runs[key].end_s = row["at_s"]
    return list(runs.values())


@pytest.fixture(scope="module")
def site_client():
    shape = site.Shape(entries=1, minions=0, workers=3, timing=TIMING)
    with site.running(shape) as running:
        client = SiteClient(running)
        client.submit("first")
        yield client


@contextlib.contextmanager
def _job_stream(site_client, label):
    """Submits jobs in a thread while a block runs; yields their ids."""
    stop = threading.Event()
    ids = []

    def submit():
        while not stop.is_set():
            ids.append(f"{label}-{len(ids)}")
            site_client.submit(ids[-1], tasks=2)
            time.sleep(0.1)

    thread = threading.Thread(target=submit)
    thread.start()
    try:
        yield ids
    finally:
        stop.set()
        thread.join()


class TestTakeover:
    def test_killed_leader_loses_and_repeats_nothing(self, site_client):
        with _job_stream(site_client, "killed") as ids:
            caller.eventually(lambda: len(ids) > 3)
            dead = site_client.fail_leader("kill")
            site_client.site.restart(dead)
        for job_id in ids:
            site_client.wait_for_state(job_id)
        assert site_client.violations() == []

    def test_stopped_leader_hands_over(self, site_client):
        with _job_stream(site_client, "stopped") as ids:
            caller.eventually(lambda: len(ids) > 3)
            stopped = site_client.fail_leader("terminate")
            site_client.site.restart(stopped)
        for job_id in ids:
            site_client.wait_for_state(job_id)
        assert "cell lease given up" in site_client.site.log(stopped)
        assert site_client.violations() == []

    def test_frozen_leader_that_resumes_changes_nothing(self, site_client):
        with _job_stream(site_client, "frozen") as ids:
            caller.eventually(lambda: len(ids) > 3)
            frozen = site_client.fail_leader("freeze")
            epoch = site_client.read_lease().epoch
            site_client.site.thaw(frozen)
            caller.eventually(lambda: len(ids) > 20)
        for job_id in ids:
            site_client.wait_for_state(job_id)
        assert site_client.read_lease().epoch >= epoch
        assert site_client.violations() == []


class TestOutage:
    def test_running_task_survives_the_cell_lease_without_the_table(
        self, site_client
    ):
        site_client.submit("long", run_s=600)
        assert caller.eventually(site_client.open_runs, 30)
        site_client.set_platform_faults(down=True)
        until = time.monotonic() + 4.5
        job = {"id": "late", "kind": "netting"}
        refused = caller.call(
            site_client.site.balancer, "POST", "/v1/jobs", job
        )
        assert refused.status >= 500
        assert refused.json()["ran"] == "no"
        caller.eventually(lambda: time.monotonic() > until, 10)
        assert [run.task for run in site_client.open_runs()] == ["long/0"]
        site_client.set_platform_faults()
        site_client.submit("late")
        site_client.wait_for_state("late")
        caller.call(site_client.site.balancer, "DELETE", "/v1/jobs/long")
        assert caller.eventually(lambda: not site_client.open_runs(), 30)
        assert site_client.violations() == []

    def test_slow_table_only_delays_jobs(self, site_client):
        site_client.set_platform_faults(slow_ms=400)
        site_client.submit("slow")
        site_client.wait_for_state("slow")
        site_client.set_platform_faults()
        assert site_client.violations() == []

    def test_leader_killed_while_the_table_is_down(self, site_client):
        before = site_client.read_lease()
        site_client.submit("twofold", tasks=3, run_s=1.0)
        site_client.set_platform_faults(down=True)
        site_client.site.kill(before.holder)
        time.sleep(1.0)
        site_client.set_platform_faults()
        site_client.submit("afterwards")
        assert site_client.read_lease().epoch > before.epoch
        site_client.site.restart(before.holder)
        for job_id in ("twofold", "afterwards"):
            site_client.wait_for_state(job_id)
        assert site_client.violations() == []

    def test_lost_answers_repeat_nothing(self, site_client):
        site_client.set_platform_faults(lose_answers=True)
        job = {"id": "doubted", "kind": "netting", "run_s": 0.3}
        answer = caller.call(site_client.site.balancer, "POST", "/v1/jobs", job)
        site_client.set_platform_faults(late_write_ms=300)
        time.sleep(1.0)
        site_client.set_platform_faults()
        if answer.status != 202:
            assert answer.json()["ran"] in ("no", "unknown")
        site_client.submit("doubted")
        site_client.wait_for_state("doubted")
        assert site_client.violations() == []


class TestLostWorker:
    def test_its_tasks_restart_on_another_worker_after_the_lease(
        self, site_client
    ):
        site_client.submit(
            "moved", run_s=600, tasks=2, size={"cores": 20, "memory_mb": 1000}
        )

        def placed():
            """Returns the runs of this job once both have started."""
            runs = [
                r
                for r in site_client.open_runs()
                if r.task.startswith("moved/")
            ]
            return runs if len(runs) == 2 else None

        runs = caller.eventually(placed, 30)
        leader = site_client.read_lease().holder
        lost = next(r for r in runs if r.worker != leader)
        site_client.site.kill(lost.worker)

        def moved():
            return [
                run
                for run in site_client.open_runs()
                if run.task == lost.task and run.worker != lost.worker
            ]

        assert caller.eventually(moved, 60)
        site_client.site.restart(lost.worker)
        caller.call(site_client.site.balancer, "DELETE", "/v1/jobs/moved")
        assert caller.eventually(lambda: not site_client.open_runs(), 30)
        assert site_client.violations() == []
        lapsed = [
            event
            for event in curio.run(site_client._events)
            if isinstance(event, cell_module.TaskEnded)
            and event.task == lost.task
        ]
        assert lapsed[0].end.value == "lapsed"
