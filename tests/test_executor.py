"""Task execution in separate processes under faults.

The histories of the workers show whether a task ran twice or was lost.
"""

import os
import signal
import time

import attrs
import pytest

from pomelostair_standins import site
from tests import caller
from tests import taskhistory

TIMING = {
    "announce_ms": 200,
    "silent_ms": 1000,
    "join_ms": 500,
    "cell_lease_ms": 1500,
    "task_lease_ms": 2500,
    "lease_margin_ms": 500,
}


@pytest.fixture(scope="module")
def running_site():
    shape = site.Shape(entries=1, minions=0, workers=2, timing=TIMING)
    with site.running(shape) as running:
        yield TaskSite(running)


class TaskSite:
    """Submits jobs to a site and reads the histories of its workers."""

    def __init__(self, running):
        self.site = running
        self.lost_worker_rows = []

    def submit(self, job_id, **spec):
        job = {"id": job_id, "kind": "wear-watch", **spec}

        def accepted():
            answer = caller.call(self.site.balancer, "POST", "/v1/jobs", job)
            return answer.status == 202

        assert caller.eventually(accepted, 40)

    def job_view(self, job_id):
        answer = caller.call(self.site.balancer, "GET", f"/v1/jobs/{job_id}")
        return answer.json() if answer.status == 200 else {"state": "unread"}

    def wait_for_end(self, job_id, state="completed"):
        def ended():
            view = self.job_view(job_id)
            return view["state"] == state and view

        final_view = caller.eventually(ended, 60)
        assert final_view, self.job_view(job_id)
        return final_view

    def call_worker(self, name, target, body=None):
        address = self.site.processes[name].addresses["http"]
        method = "GET" if body is None else "POST"

        def answered():
            answer = caller.call(address, method, target, body)
            return answer if answer.status == 200 else None

        return caller.eventually(answered).json()

    def history(self):
        rows = list(self.lost_worker_rows)
        for name in ("worker-1", "worker-2"):
            rows += taskhistory.parse_history(
                name, self.call_worker(name, "/history")
            )
        return rows

    def actions(self, action):
        return [row for row in self.history() if row.action == action]

    def job_rows(self, job_id):
        rows = self.history()
        return [row for row in rows if row.task.startswith(f"{job_id}/")]

    def of_action(self, action):
        return [row for row in self.history() if row.action == action]

    def replace_host(self, worker):
        """Replaces a worker's host; attempts that run there are lost."""
        self.site.kill(f"agent-{worker}")
        rows = taskhistory.parse_history(
            worker, self.call_worker(worker, "/history")
        )
        self.site.kill(worker)
        at_s = time.monotonic()
        running = {}
        for row in rows:
            key = (row.task, row.attempt)
            if row.action == "start":
                running[key] = attrs.evolve(row, at_s=at_s, action="lost")
            else:
                running.pop(key, None)
        self.lost_worker_rows += [*rows, *running.values()]
        self.site.restart(worker)
        self.site.restart(f"agent-{worker}")

    def wait_for_start(self, job_id):
        def start_rows():
            return [r for r in self.job_rows(job_id) if r.action == "start"]

        rows = caller.eventually(start_rows, 40)
        assert rows
        return rows[0].worker

    def restart_process(self, name):
        self.site.kill(name)
        self.site.restart(name)


class TestEviction:
    def test_urgent_work_evicts_and_each_eviction_resumes_once(
        self, running_site
    ):
        running_site.submit(
            "crowd", tasks=12, size={"cores": 8, "memory_mb": 1000}, run_s=3
        )
        running_site.wait_for_start("crowd")
        running_site.submit(
            "urgent",
            kind="fit-check",
            urgency="urgent",
            tasks=2,
            size={"cores": 20, "memory_mb": 1000},
            run_s=1,
        )
        running_site.wait_for_end("urgent")
        running_site.wait_for_end("crowd")
        evicted = running_site.actions("evicted")
        assert evicted
        assert all(row.task.startswith("crowd/") for row in evicted)
        rows = running_site.history()
        assert taskhistory.violations(rows) == []

    def test_stopping_agent_has_its_tasks_evicted(self, running_site):
        running_site.submit("handed", tasks=4, run_s=4)
        worker = running_site.wait_for_start("handed")
        agent = running_site.site.processes[f"agent-{worker}"]
        os.kill(agent.pid, signal.SIGTERM)
        running_site.wait_for_end("handed")
        running_site.restart_process(f"agent-{worker}")
        evicted = running_site.actions("evicted")
        evicted_rows = [
            row for row in evicted if row.task.startswith("handed/")
        ]
        assert {row.worker for row in evicted_rows} == {worker}
        assert taskhistory.violations(running_site.history()) == []


class TestFaults:
    def test_restarted_agent_adopts_running_tasks(self, running_site):
        running_site.submit("adopted", tasks=4, run_s=6)
        worker = running_site.wait_for_start("adopted")
        running_site.restart_process(f"agent-{worker}")
        running_site.wait_for_end("adopted")
        assert taskhistory.violations(running_site.history()) == []

    def test_agent_frozen_past_its_leases_runs_no_task_twice(
        self, running_site
    ):
        running_site.submit("frozen", tasks=4, run_s=5)
        agent = "agent-" + running_site.wait_for_start("frozen")
        running_site.site.freeze(agent)
        assert caller.eventually(lambda: running_site.actions("lapsed"), 20)
        running_site.site.thaw(agent)
        running_site.wait_for_end("frozen")
        assert taskhistory.violations(running_site.history()) == []

    def test_tasks_of_a_lost_worker_start_elsewhere(self, running_site):
        running_site.submit("gone", tasks=4, run_s=5)
        worker = running_site.wait_for_start("gone")
        running_site.replace_host(worker)
        running_site.wait_for_end("gone")
        assert running_site.of_action("lost")
        assert taskhistory.violations(running_site.history()) == []

    def test_lost_replies_of_worker_and_store_run_no_task_twice(
        self, running_site
    ):
        faults = {"lose_answers": True}
        for name in ("worker-1", "worker-2"):
            running_site.call_worker(name, "/faults", faults)
        running_site.submit("lost", tasks=6, run_s=1, once=True)
        running_site.wait_for_start("lost")
        platform = running_site.site.platform
        caller.call(platform, "POST", "/faults", faults)
        time.sleep(1)
        caller.call(platform, "POST", "/faults", {"lose_answers": False})
        for name in ("worker-1", "worker-2"):
            running_site.call_worker(name, "/faults", {"lose_answers": False})
        running_site.wait_for_end("lost")
        assert taskhistory.violations(running_site.history()) == []


class TestFailureAttribution:
    def test_worker_that_fails_all_attempts_fails_no_job(self, running_site):
        running_site.call_worker("worker-1", "/behaviour", {"fail_all": True})
        for number in range(4):
            running_site.submit(f"job-{number}", kind=f"kind-{number}", tasks=2)
        for number in range(4):
            running_site.wait_for_end(f"job-{number}")
        running_site.call_worker("worker-1", "/behaviour", {})

    def test_task_that_always_fails_ends_as_failed(self, running_site):
        for name in ("worker-1", "worker-2"):
            body = {"kinds": {"bad": {"fails": True}}}
            running_site.call_worker(name, "/behaviour", body)
        running_site.submit("bad", kind="bad", max_failures=2)
        view = running_site.wait_for_end("bad", "failed")
        assert view["tasks"][0]["attempt"] == 2
        running_site.submit("good", kind="good")
        running_site.wait_for_end("good")
