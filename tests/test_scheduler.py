"""Tests the scheduler with simulated agents and lost heartbeat replies.

A state machine compares it with a simple model of the workers' free capacity.
"""

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pomelostair import accounting
from pomelostair import cell
from pomelostair import cellview
from pomelostair import declaration
from pomelostair import failuretracker
from pomelostair import messages
from pomelostair import scheduler
from pomelostair import settings
from pomelostair import termstate

WORKERS = ("w1", "w2", "w3")
CAPACITY = messages.Size(8.0, 8000, 0)
TIMING = settings.Timing()


class NullMetrics:
    """Metrics that discard all counts."""

    def count(self, name, amount=1, **labels):
        """Discards the count."""


@attrs.define
class FakeAgent:
    """A worker with its agent; carries out every order that it receives."""

    state: messages.TargetState = messages.TargetState.READY
    running: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)
    boot: str = "first"

    def heartbeat(self, name):
        usage = tuple(
            messages.TaskUsage(
                *key, messages.Size(0, 0), 0.0, 1.0, None, order.reserved
            )
            for key, order in self.running.items()
        )
        return messages.Heartbeat(
            name,
            "zone",
            f"rack-{name}",
            CAPACITY,
            self.state,
            usage,
            tuple(self.ended.values()),
            boot=self.boot,
        )

    def apply_ack(self, ack):
        for order in ack.start:
            key = (order.task, order.attempt)
            if key not in self.ended:
                self.running[key] = order
        for stop in ack.stop:
            end = messages.TaskEnd.STOPPED
            if stop.checkpoint:
                end = messages.TaskEnd.EVICTED
            self.end((stop.task, stop.attempt), end)
        for key in ack.acknowledged:
            self.ended.pop(key, None)

    def end(self, key, end):
        if self.running.pop(key, None) is None:
            return
        saved = f"{key[0]}@{key[1]}" if end is messages.TaskEnd.EVICTED else ""
        self.ended[key] = messages.TaskEnded(*key, end, "", saved)


class CellHarness:
    """The state and scheduler of a leader with three fake agents."""

    def __init__(self):
        self.now = 100.0
        self.state = cell.State()
        self.scheduler = scheduler.Scheduler(TIMING, NullMetrics(), self.now)
        self.agents = {name: FakeAgent() for name in WORKERS}
        self.workers = {}
        self.declarations = declaration.Declarations()

    def submit(self, job_id, **spec):
        spec = {"kind": "k", **spec}
        job = messages.JobSpec(job_id, **spec)
        self.state.apply(cell.JobSubmitted(job))

    def send_heartbeat(self, name, reply_delivered=True):
        heartbeat = self.agents[name].heartbeat(name)
        self.workers[name] = termstate.Worker("", heartbeat, self.now)
        self.scheduler.observe(heartbeat, self.state, self.now)
        for ended in heartbeat.ended:
            classified = self.scheduler.classify_end(ended)
            self.state.apply(cell.TaskEnded(**attrs.asdict(classified)))
        reply = self.scheduler.reply(heartbeat, self.state, 1, self.now)
        for event in reply.events:
            self.state.apply(event)
        if reply_delivered:
            self.agents[name].apply_ack(reply.ack)

    def plan(self):
        inputs = cellview.RoundInputs(
            self.state, (), self.workers, self.declarations, self.now
        )
        plan = self.scheduler.plan(inputs)
        for event in plan.events:
            self.state.apply(event)
        return plan

    def run_rounds(self, rounds=4):
        for _ in range(rounds):
            self.now += 0.5
            for name in WORKERS:
                self.send_heartbeat(name)
            self.plan()

    def task(self, task_id):
        return self.state.tasks[task_id]

    def workers_running(self, task_id):
        return [
            name
            for name, agent in self.agents.items()
            if any(key[0] == task_id for key in agent.running)
        ]


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Random jobs, ends, lost replies and drains, checked after each step."""

    def __init__(self):
        super().__init__()
        self.harness = CellHarness()
        self.jobs = 0
        self.starts = set()
        self.checkpoints = {}

    @stateful.rule(
        urgency=strategies.sampled_from(messages.Urgency),
        cores=strategies.integers(1, 9),
        tasks=strategies.integers(1, 4),
        kind=strategies.sampled_from(("a", "b")),
    )
    def submit(self, urgency, cores, tasks, kind):
        self.jobs += 1
        self.harness.submit(
            f"j{self.jobs}",
            urgency=urgency,
            size=messages.Size(cores, 1000),
            tasks=tasks,
            kind=kind,
        )

    @stateful.rule(number=strategies.integers(1, 20))
    def cancel(self, number):
        self.harness.state.apply(cell.JobCancelled(f"j{number}"))

    @stateful.rule(
        name=strategies.sampled_from(WORKERS),
        reply_delivered=strategies.booleans(),
    )
    def send_heartbeat(self, name, reply_delivered):
        agent = self.harness.agents[name]
        before = dict(agent.running)
        self.harness.send_heartbeat(name, reply_delivered)
        for key, order in agent.running.items():
            if key not in before:
                assert key not in self.starts, f"{key} started twice"
                self.starts.add(key)
                saved = self.checkpoints.get(key[0], "")
                assert order.checkpoint == saved
        for key, ended in agent.ended.items():
            if ended.checkpoint:
                self.checkpoints[key[0]] = ended.checkpoint

    @stateful.rule(
        name=strategies.sampled_from(WORKERS),
        end=strategies.sampled_from(
            (messages.TaskEnd.COMPLETED, messages.TaskEnd.FAILED)
        ),
    )
    def end(self, name, end):
        agent = self.harness.agents[name]
        for key in list(agent.running)[:1]:
            agent.end(key, end)

    @stateful.rule(
        name=strategies.sampled_from(WORKERS),
        state=strategies.sampled_from(messages.TargetState),
    )
    def drain(self, name, state):
        self.harness.agents[name].state = state

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 7.0)))
    def wait(self, seconds):
        self.harness.now += seconds

    @stateful.rule()
    def plan(self):
        waiting = {task.id for task in self.harness.state.waiting()}
        plan = self.harness.plan()
        for event in plan.events:
            if isinstance(event, cell.TaskPlaced):
                assert event.task in waiting
                worker = self.harness.workers[event.worker]
                ready = messages.TargetState.READY
                assert worker.heartbeat.state is ready
                assert (
                    worker.last_granted_s
                    >= self.harness.now - TIMING.silent_ms / 1000
                )
        self.check_no_task_waits_in_vain()

    def check_no_task_waits_in_vain(self):
        """Checks that no task waits while its declared size fits a worker."""
        now = self.harness.now
        term = self.harness.scheduler.term
        if term.reservations:
            return
        for task in self.harness.state.waiting():
            if term.failure_tracker.earliest_start_s(task.id) > now:
                continue
            if term.failure_tracker.failed_workers(task.id):
                continue
            for name in self.schedulable_workers():
                free = self.unreserved_size(name)
                assert not accounting.fits(task.spec.size, free), (
                    f"{task.id} waits though {name} has {free}"
                )

    def schedulable_workers(self):
        harness = self.harness
        tracker = harness.scheduler.term.failure_tracker
        for name, worker in harness.workers.items():
            if (
                worker.last_granted_s >= harness.now - TIMING.silent_ms / 1000
                and worker.heartbeat.state is messages.TargetState.READY
                and tracker.worker_status(name, harness.now)
                is failuretracker.WorkerStatus.TRUSTED
            ):
                yield name

    def unreserved_size(self, name):
        held = {
            (task.id, task.attempt): task.spec.size
            for task in self.harness.state.placed()
            if task.worker == name
        }
        for usage in self.harness.workers[name].heartbeat.usage:
            key = (usage.task, usage.attempt)
            held.setdefault(key, usage.reserved)
        return messages.Size(
            CAPACITY.cores - sum(s.cores for s in held.values()),
            CAPACITY.memory_mb - sum(s.memory_mb for s in held.values()),
            0,
        )

    @stateful.invariant()
    def no_task_runs_twice(self):
        running = [
            key[0]
            for agent in self.harness.agents.values()
            for key in agent.running
        ]
        assert len(running) == len(set(running))

    @stateful.invariant()
    def no_worker_exceeds_its_capacity(self):
        for agent in self.harness.agents.values():
            cores = sum(o.reserved.cores for o in agent.running.values())
            assert cores <= CAPACITY.cores


SchedulerMachine.TestCase.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=40
)
TestScheduler = SchedulerMachine.TestCase


class TestPreemption:
    def test_urgent_task_evicts_the_least_urgent(self):
        harness = CellHarness()
        harness.run_rounds(1)
        normal = messages.Urgency.NORMAL
        harness.submit("n", size=messages.Size(4, 100), tasks=3, urgency=normal)
        harness.submit("b", size=messages.Size(4, 100), tasks=3)
        harness.run_rounds()
        harness.submit(
            "u", size=messages.Size(8, 100), urgency=messages.Urgency.URGENT
        )
        harness.run_rounds()
        assert harness.workers_running("u/0")
        evicted = [
            task
            for task in harness.state.tasks.values()
            if task.reason == "evicted" or task.checkpoint
        ]
        assert {task.spec.id for task in evicted} == {"b"}
        assert all(task.checkpoint for task in evicted)

    def test_critical_task_is_never_preempted(self):
        harness = CellHarness()
        harness.run_rounds(1)
        for number in range(3):
            harness.submit(
                f"c{number}",
                size=messages.Size(8, 100),
                urgency=messages.Urgency.CRITICAL,
            )
        harness.run_rounds()
        harness.submit(
            "u", size=messages.Size(8, 100), urgency=messages.Urgency.URGENT
        )
        harness.run_rounds()
        assert not harness.workers_running("u/0")


class TestUrgency:
    def test_declared_urgency_of_a_kind_applies(self):
        harness = CellHarness()
        harness.declarations = declaration.Declarations(
            urgencies=(declaration.KindUrgency("hot", "urgent"),)
        )
        harness.run_rounds(1)
        harness.submit("b", size=messages.Size(8, 100), tasks=3)
        harness.run_rounds()
        harness.submit("h", kind="hot", size=messages.Size(8, 100))
        harness.run_rounds()
        assert harness.workers_running("h/0")


class TestLimits:
    def test_task_larger_than_any_worker_is_parked_with_reason(self):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("big", size=messages.Size(9, 100))
        harness.run_rounds()
        assert "no worker is large enough" in harness.task("big/0").reason
        rows = harness.scheduler.explain("big/0", harness.state).rows
        assert any("declare smaller tasks" in row for row in rows)

    def test_job_too_large_is_refused_once_workers_have_reported(self):
        harness = CellHarness()
        harness.run_rounds(1)
        spec = messages.JobSpec("big", "k", size=messages.Size(9, 100))
        check_admission = harness.scheduler.check_admission
        assert check_admission(spec, harness.workers, harness.now) is None
        refused = check_admission(spec, harness.workers, harness.now + 20)
        assert "8 cores" in refused.message

    def test_team_stays_within_its_quota(self):
        harness = CellHarness()
        harness.declarations = declaration.Declarations(
            teams=(declaration.Team("t", cores=6.0),)
        )
        harness.run_rounds(1)
        harness.submit("q", team="t", size=messages.Size(2, 100), tasks=8)
        harness.run_rounds()
        assert len(harness.state.placed()) == 3
        assert "quota of 6 cores" in harness.state.waiting()[0].reason

    def test_lowered_batch_share_evicts_down_to_it(self):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("b", size=messages.Size(4, 100), tasks=6)
        harness.run_rounds()
        limits = declaration.Limits(batch_share=0.5)
        harness.declarations = declaration.Declarations(limits=limits)
        harness.run_rounds()
        assert len(harness.state.placed()) == 3
        assert sum(bool(t.checkpoint) for t in harness.state.waiting()) == 3

    def test_draining_worker_evicts_its_tasks_with_checkpoints(self):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("b", size=messages.Size(2, 100), tasks=3)
        harness.run_rounds()
        (worker,) = harness.workers_running("b/0")
        harness.agents[worker].state = messages.TargetState.DRAINING
        harness.run_rounds()
        assert not harness.agents[worker].running
        assert harness.task("b/0").checkpoint == "b/0@1"
        assert harness.workers_running("b/0") != [worker]


class TestStarvation:
    @pytest.mark.parametrize("urgency", ["URGENT", "NORMAL"])
    def test_batch_starts_despite_a_constant_stream_of_urgent_work(
        self, urgency
    ):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("b", size=messages.Size(4, 100))
        level = messages.Urgency[urgency]
        waited_s = 0
        for number in range(600):
            harness.submit(
                f"f{number}",
                size=messages.Size(2, 100),
                tasks=4,
                urgency=level,
            )
            harness.run_rounds(1)
            for agent in harness.agents.values():
                for key in list(agent.running)[:2]:
                    if key[0].startswith("f"):
                        agent.end(key, messages.TaskEnd.COMPLETED)
            waited_s += 0.5
            if harness.workers_running("b/0"):
                break
        assert harness.workers_running("b/0")
        assert waited_s <= cellview.STARVATION_S + 30


class TestSpread:
    def test_surviving_job_is_spread_over_racks(self):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("s", tasks=3, survive=True)
        harness.run_rounds()
        assert {harness.task(f"s/{n}").worker for n in range(3)} == set(WORKERS)


class TestUnknownAttempts:
    def test_attempt_missing_from_the_state_is_charged_to_its_worker(self):
        harness = CellHarness()
        order = messages.StartOrder(
            "x/0",
            1,
            "k",
            messages.Urgency.BATCH,
            messages.Size(6, 100),
            1.0,
            "",
            once=False,
            reserved=CAPACITY,
        )
        for agent in harness.agents.values():
            agent.running["x/0", 1] = order
        for name in WORKERS:
            harness.send_heartbeat(name, reply_delivered=False)
        harness.submit("b", size=messages.Size(4, 100))
        assert not harness.plan().events
        harness.run_rounds()
        assert harness.workers_running("b/0")


class TestWorkerRestart:
    def test_attempt_ends_when_its_worker_restarts(self):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("b")
        harness.run_rounds()
        (worker,) = harness.workers_running("b/0")
        agent = harness.agents[worker]
        agent.running.clear()
        agent.boot = "second"
        harness.send_heartbeat(worker)
        assert harness.task("b/0").reason == "its worker restarted"
        harness.run_rounds()
        assert harness.task("b/0").attempt == 2
        agent.boot = "first"
        harness.send_heartbeat(worker)
        assert harness.task("b/0").state is cell.TaskState.PLACED


class TestLostReply:
    def test_undelivered_start_keeps_its_placement_until_the_lease_expires(
        self,
    ):
        harness = CellHarness()
        harness.run_rounds(1)
        harness.submit("b")
        harness.plan()
        worker = harness.task("b/0").worker
        harness.send_heartbeat(worker, reply_delivered=False)
        harness.state.apply(cell.JobCancelled("b"))
        harness.now += 5.5
        harness.send_heartbeat(worker, reply_delivered=False)
        assert harness.task("b/0").state is cell.TaskState.PLACED
        harness.now += 1
        harness.send_heartbeat(worker)
        assert harness.task("b/0").state is cell.TaskState.CANCELLED
