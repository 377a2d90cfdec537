"""Takeover of a cell over real processes, judged by log and workers."""

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


class Observer:
    """Submits jobs to a site and joins its log with its workers' starts."""

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

    def ended(self, job_id, state="completed"):
        def done():
            return self.view(job_id)["state"] == state

        assert caller.eventually(done, 60), self.view(job_id)

    def lease(self):
        return curio.run(self._log().read_lease).row

    def kill_or_freeze(self, fault):
        """Makes the leader fail; returns its name, once another one leads."""
        before = self.lease()
        if fault == "terminate":
            process = self.site.processes[before.holder].popen
            process.terminate()
            process.wait(30)
        else:
            getattr(self.site, fault)(before.holder)

        def taken():
            row = self.lease()
            return row.epoch > before.epoch and row

        assert caller.eventually(taken, 30)
        return before.holder

    def platform_faults(self, **faults):
        answer = caller.call(self.site.platform, "POST", "/faults", faults)
        assert answer.status == 200

    def running(self):
        return [run for run in self.runs() if run.end is None]

    def runs(self):
        found = []
        for name in WORKERS:
            address = self.site.processes[name].addresses["http"]
            rows = caller.call(address, "GET", "/history").json()
            found += _runs(f"agent-{name}", rows)
        return found

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
            runs[key] = loghistory.Run(*key, worker, row["at_s"])
        elif key in runs and runs[key].end is None:
            runs[key].end = row["at_s"]
    return list(runs.values())


@pytest.fixture(scope="module")
def observer():
    shape = site.Shape(entries=1, minions=0, workers=3, timing=TIMING)
    with site.running(shape) as running:
        found = Observer(running)
        found.submit("first")
        yield found


@contextlib.contextmanager
def _stream(observer, label):
    """Keeps submitting jobs beside a block; yields their ids."""
    stop = threading.Event()
    ids = []

    def submit():
        while not stop.is_set():
            ids.append(f"{label}-{len(ids)}")
            observer.submit(ids[-1], tasks=2)
            time.sleep(0.1)

    thread = threading.Thread(target=submit)
    thread.start()
    try:
        yield ids
    finally:
        stop.set()
        thread.join()


class TestTakeover:
    def test_killed_leader_loses_and_doubles_nothing(self, observer):
        with _stream(observer, "killed") as ids:
            caller.eventually(lambda: len(ids) > 3)
            dead = observer.kill_or_freeze("kill")
            observer.site.restart(dead)
        for job_id in ids:
            observer.ended(job_id)
        assert observer.violations() == []

    def test_stopped_leader_hands_over(self, observer):
        with _stream(observer, "stopped") as ids:
            caller.eventually(lambda: len(ids) > 3)
            stopped = observer.kill_or_freeze("terminate")
            observer.site.restart(stopped)
        for job_id in ids:
            observer.ended(job_id)
        assert "cell lease given up" in observer.site.log(stopped)
        assert observer.violations() == []

    def test_frozen_leader_that_wakes_changes_nothing(self, observer):
        with _stream(observer, "frozen") as ids:
            caller.eventually(lambda: len(ids) > 3)
            frozen = observer.kill_or_freeze("freeze")
            epoch = observer.lease().epoch
            observer.site.thaw(frozen)
            caller.eventually(lambda: len(ids) > 20)
        for job_id in ids:
            observer.ended(job_id)
        assert observer.lease().epoch >= epoch
        assert observer.violations() == []


class TestOutage:
    def test_running_work_outlives_the_cell_lease_without_the_table(
        self, observer
    ):
        observer.submit("long", run_s=600)
        assert caller.eventually(observer.running, 30)
        observer.platform_faults(down=True)
        until = time.monotonic() + 4.5
        job = {"id": "late", "kind": "netting"}
        refused = caller.call(observer.site.balancer, "POST", "/v1/jobs", job)
        assert refused.status >= 500
        assert refused.json()["ran"] == "no"
        caller.eventually(lambda: time.monotonic() > until, 10)
        assert [run.task for run in observer.running()] == ["long/0"]
        observer.platform_faults()
        observer.submit("late")
        observer.ended("late")
        caller.call(observer.site.balancer, "DELETE", "/v1/jobs/long")
        assert caller.eventually(lambda: not observer.running(), 30)
        assert observer.violations() == []

    def test_slow_table_only_delays(self, observer):
        observer.platform_faults(slow_ms=400)
        observer.submit("slow")
        observer.ended("slow")
        observer.platform_faults()
        assert observer.violations() == []

    def test_leader_killed_while_the_table_is_down(self, observer):
        before = observer.lease()
        observer.submit("twofold", tasks=3, run_s=1.0)
        observer.platform_faults(down=True)
        observer.site.kill(before.holder)
        time.sleep(1.0)
        observer.platform_faults()
        observer.submit("afterwards")
        assert observer.lease().epoch > before.epoch
        observer.site.restart(before.holder)
        for job_id in ("twofold", "afterwards"):
            observer.ended(job_id)
        assert observer.violations() == []

    def test_lost_answers_double_nothing(self, observer):
        observer.platform_faults(lose_answers=True)
        job = {"id": "doubted", "kind": "netting", "run_s": 0.3}
        answer = caller.call(observer.site.balancer, "POST", "/v1/jobs", job)
        observer.platform_faults(late_write_ms=300)
        time.sleep(1.0)
        observer.platform_faults()
        if answer.status != 202:
            assert answer.json()["ran"] in ("no", "unknown")
        observer.submit("doubted")
        observer.ended("doubted")
        assert observer.violations() == []


class TestLostWorker:
    def test_its_tasks_restart_elsewhere_after_the_lease(self, observer):
        observer.submit(
            "moved", run_s=600, tasks=2, size={"cores": 20, "memory_mb": 1000}
        )

        def placed():
            """Returns the runs of this job once both are there."""
            runs = [
                r for r in observer.running() if r.task.startswith("moved/")
            ]
            return runs if len(runs) == 2 else None

        runs = caller.eventually(placed, 30)
        leader = observer.lease().holder
        lost = next(r for r in runs if r.worker != leader)
        observer.site.kill(lost.worker)

        def moved():
            return [
                run
                for run in observer.running()
                if run.task == lost.task and run.worker != lost.worker
            ]

        assert caller.eventually(moved, 60)
        observer.site.restart(lost.worker)
        caller.call(observer.site.balancer, "DELETE", "/v1/jobs/moved")
        assert caller.eventually(lambda: not observer.running(), 30)
        assert observer.violations() == []
        lapsed = [
            event
            for event in curio.run(observer._events)
            if isinstance(event, cell_module.TaskEnded)
            and event.task == lost.task
        ]
        assert lapsed[0].end.value == "lapsed"
