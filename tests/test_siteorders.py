"""Stops, sheds and drains of a site of separate processes under load."""

import json
import threading
import time

import attrs
import pytest

from pomelostair_standins import site
from tests import caller

FIT = "/services/clapper-desk/fit"
SHAPE = site.Shape(minions=1, workers=2, timing={"drain_s": 2.0})
IN_FORCE_S = 3.0  # Time until all processes apply an order.
URGENCIES = ("batch", "normal", "urgent", "critical")


@attrs.frozen
class SentRequest:
    """A request and its response; times are monotonic seconds."""

    urgency: str
    begun: float
    ended: float
    answer: caller.Response


class Load:
    """Sends requests of each urgency class, each class in its own thread."""

    def __init__(self, address):
        self._address = address
        self._ended = threading.Event()
        self.sent = []
        self._threads = [
            threading.Thread(target=self._call, args=(urgency,))
            for urgency in URGENCIES
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _call(self, urgency):
        headers = {"Pomelostair-Urgency": urgency, "x-service-ms": "50"}
        while not self._ended.is_set():
            begun = time.monotonic()
            answer = caller.call(self._address, "GET", FIT, headers=headers)
            self.sent.append(
                SentRequest(urgency, begun, time.monotonic(), answer)
            )
            self._ended.wait(0.05)

    def first_refused(self, urgency, begun):
        return min(
            (
                sent.begun
                for sent in self.sent
                if sent.urgency == urgency
                and sent.begun >= begun
                and sent.answer.status == 503
                and sent.answer.json()["kind"] == "site-stopping"
            ),
            default=None,
        )


def run_command(address, sentence, expected=None):
    body = {"command": sentence, "expected_version": expected}
    return caller.call(address, "POST", "/v1/commands", body)


def query_rows(address, sentence):
    answer = run_command(address, sentence)
    return answer.json()["rows"] if answer.status == 200 else []


def submit(address, job, **fields):
    body = {"id": job, "kind": job, "run_s": 600, **fields}
    return caller.call(address, "POST", "/v1/jobs", body).status == 202


def _class_name(task):
    """Returns the class in a task's id, without the prefix of its test."""
    return task.split("/")[0].split("-")[1]


def placed(address):
    placed_rows = query_rows(address, "tasks where state = placed")
    return {row["job"]: row for row in placed_rows}


@pytest.fixture(scope="module")
def whole_site():
    with site.running(SHAPE) as running:
        for entry in running.entries:
            assert caller.eventually(
                lambda entry=entry: caller.call(entry, "GET", FIT).status == 200
            )
        assert caller.eventually(
            lambda: len(query_rows(running.balancer, "workers")) == 2
        )
        yield running


@pytest.fixture
def running_site(whole_site):
    """A site without jobs or orders; both are removed again after the test."""
    yield whole_site
    caller.call(whole_site.platform, "POST", "/faults", {})

    def cleared():
        run_command(whole_site.balancer, "resume site")
        for row in query_rows(whole_site.balancer, "drains"):
            run_command(whole_site.balancer, f"undrain worker {row['id']}")
        for row in query_rows(whole_site.balancer, "tasks"):
            target = f"/v1/jobs/{row['job']}"
            caller.call(whole_site.balancer, "DELETE", target)
        still_placed = query_rows(
            whole_site.balancer, "tasks where state = placed"
        )
        return not still_placed and not running_counts(whole_site)

    assert caller.eventually(cleared)


def submit_each_class(running, prefix):
    """Submits a job of each class and a batch job declared `survive`."""
    for urgency in URGENCIES:
        assert caller.eventually(
            lambda urgency=urgency: submit(
                running.balancer, f"{prefix}-{urgency}", urgency=urgency
            )
        )
    assert submit(running.balancer, f"{prefix}-kept", survive=True)
    names = {f"{prefix}-{name}" for name in (*URGENCIES, "kept")}
    assert caller.eventually(lambda: placed(running.balancer).keys() == names)
    time.sleep(1)


def running_counts(running):
    """Returns by task how many attempts run now on all workers."""
    counts = {}
    for process in running.processes.values():
        if process.role != "worker":
            continue
        address = process.addresses["http"]
        answer = caller.call(address, "GET", "/status")
        for task in answer.json()["tasks"] if answer.status == 200 else ():
            if task["state"] == "running":
                counts[task["task"]] = counts.get(task["task"], 0) + 1
    return counts


class TestStop:
    def test_outage_and_killed_entry_change_neither_order_nor_deadline(
        self, running_site
    ):
        submit_each_class(running_site, "long")
        planned = run_command(
            running_site.balancer, "plan stop within 14 s"
        ).json()
        assert [row["tasks"] for row in planned["rows"]].count(1) == 5
        assert "slack" in planned["message"]
        with Load(running_site.balancer) as load:
            time.sleep(0.5)
            ordered = time.monotonic()
            answer = run_command(
                running_site.entries[0], "stop site within 14 s"
            )
            assert answer.status == 200
            time.sleep(2)
            faults = {"down": True}
            caller.call(running_site.platform, "POST", "/faults", faults)
            running_site.kill("entry-1")
            running_site.restart("entry-1")
            last_seen_s = dict.fromkeys((*URGENCIES, "kept"), ordered)

            def stopped():
                running = running_counts(running_site)
                now_s = time.monotonic()
                last_seen_s.update(
                    (_class_name(task), now_s) for task in running
                )
                return not running

            assert caller.eventually(stopped, timeout_s=25, poll_interval_s=0.2)
            finished = time.monotonic()
            caller.eventually(
                lambda: load.first_refused("critical", ordered), timeout_s=25
            )
            time.sleep(max(0.0, ordered + 14 - time.monotonic()))
        assert finished - ordered < 14
        assert (
            last_seen_s["batch"]
            <= last_seen_s["normal"]
            <= last_seen_s["urgent"]
        )
        assert (
            last_seen_s["urgent"]
            <= last_seen_s["critical"]
            <= last_seen_s["kept"]
        )
        first_refused_s = [
            load.first_refused(name, ordered) for name in URGENCIES
        ]
        assert None not in first_refused_s
        assert first_refused_s == sorted(first_refused_s)
        for sent in load.sent:
            refused = load.first_refused(sent.urgency, ordered)
            if sent.answer.status == 200:
                assert sent.begun < refused + IN_FORCE_S, sent
            elif sent.answer.status:
                assert sent.answer.json()["ran"] == "no", sent
        self._resume(running_site)

    def test_short_stop_keeps_its_deadline_and_cuts_no_request(
        self, running_site
    ):
        submit_each_class(running_site, "short")
        headers = {"x-service-ms": "7000"}
        answers = []
        caller_thread = threading.Thread(
            target=lambda: answers.append(
                caller.call(running_site.balancer, "GET", FIT, headers=headers)
            )
        )
        caller_thread.start()
        time.sleep(1)
        faults = {"down": True}
        ordered = time.monotonic()
        answer = run_command(running_site.balancer, "stop site within 4 s")
        caller.call(running_site.platform, "POST", "/faults", faults)
        assert "the time is short" in answer.json()["message"]
        assert caller.eventually(
            lambda: not running_counts(running_site), poll_interval_s=0.05
        )
        assert time.monotonic() - ordered < 4
        caller_thread.join()
        assert answers[0].status == 200
        self._resume(running_site)

    def _resume(self, running):
        caller.call(running.platform, "POST", "/faults", {})
        assert not submit(running.balancer, "late")
        assert caller.eventually(
            lambda: run_command(running.balancer, "resume site").status == 200
        )
        names = {*URGENCIES, "kept"}

        def resumed():
            return {
                _class_name(task) for task in running_counts(running)
            } == names

        assert caller.eventually(resumed, timeout_s=40)
        assert set(running_counts(running).values()) == {1}
        assert caller.eventually(
            lambda: caller.call(running.balancer, "GET", FIT).status == 200
        )


class TestShed:
    def test_least_urgent_tasks_are_evicted_and_return(self, running_site):
        for name, urgency in (("a", "batch"), ("b", "normal")):
            size = {"cores": 20.0}
            assert caller.eventually(
                lambda name=name, urgency=urgency, size=size: submit(
                    running_site.balancer, name, urgency=urgency, size=size
                )
            )
        assert caller.eventually(
            lambda: placed(running_site.balancer).keys() == {"a", "b"}
        )
        planned = run_command(running_site.balancer, "plan shed to 40 %").json()
        assert planned["rows"] == [{"id": "a/0"}]
        assert run_command(running_site.balancer, "shed to 40 %").status == 200
        assert caller.eventually(
            lambda: running_counts(running_site).keys() == {"b/0"}
        )

        def explained():
            decisions = query_rows(running_site.balancer, "why a/0")
            return any("40%" in row["decision"] for row in decisions)

        assert caller.eventually(explained)
        assert run_command(running_site.balancer, "resume site").status == 200
        assert caller.eventually(
            lambda: running_counts(running_site) == {"a/0": 1, "b/0": 1}
        )


class TestDrain:
    def test_drained_worker_has_its_task_moved_once(self, running_site):
        assert caller.eventually(lambda: submit(running_site.balancer, "d"))
        assert caller.eventually(
            lambda: running_counts(running_site) == {"d/0": 1}
        )
        before = placed(running_site.balancer)["d"]
        worker = before["worker"]
        sentence = f"drain worker {worker} within 20 s"
        assert run_command(running_site.balancer, sentence).status == 200

        def moved():
            task = placed(running_site.balancer).get("d")
            return task and task["worker"] != worker and task

        after = caller.eventually(moved)
        assert after["attempt"] == before["attempt"] + 1
        assert caller.eventually(
            lambda: running_counts(running_site) == {"d/0": 1}
        )
        assert query_rows(running_site.balancer, "drains")[0]["left"] == 0

    def test_drain_survives_a_killed_leader_and_a_table_outage(
        self, running_site
    ):
        assert caller.eventually(lambda: submit(running_site.balancer, "e"))
        assert caller.eventually(
            lambda: running_counts(running_site) == {"e/0": 1}
        )
        before = placed(running_site.balancer)["e"]
        worker = before["worker"]
        sentence = f"drain worker {worker} within 30 s"
        assert run_command(running_site.balancer, sentence).status == 200
        faults = {"down": True}
        caller.call(running_site.platform, "POST", "/faults", faults)
        leader = _leader(running_site)
        running_site.kill(leader)
        running_site.restart(leader)
        counts = []
        for _ in range(10):
            counts.append(running_counts(running_site).get("e/0", 0))
            time.sleep(0.2)
        caller.call(running_site.platform, "POST", "/faults", {})

        def moved():
            counts.append(running_counts(running_site).get("e/0", 0))
            task = placed(running_site.balancer).get("e")
            return task and task["worker"] != worker and counts[-1] == 1

        assert caller.eventually(moved, timeout_s=40)
        assert max(counts) == 1


def _leader(running):
    """Returns the agent that acquired the cell lease last."""
    acquired = []
    for name, process in running.processes.items():
        if process.role != "agent":
            continue
        lines = [
            json.loads(line)
            for line in running.log(name).splitlines()
            if '"LEASE_ACQUIRED"' in line
        ]
        acquired.extend((line["epoch"], name) for line in lines)
    return max(acquired)[1]
