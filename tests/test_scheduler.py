"""The scheduler against a naive one, with agents that obey late or never."""

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pomelostair import accounting
from pomelostair import cell
from pomelostair import declaration
from pomelostair import failuretracker
from pomelostair import messages
from pomelostair import scheduler
from pomelostair import settings
from pomelostair import survey
from pomelostair import termstate

WORKERS = ("w1", "w2", "w3")
CAPACITY = messages.Size(8.0, 8000, 0)
TIMING = settings.Timing()


class NoMetrics:
    """Takes counts and keeps none."""

    def count(self, name, amount=1, **labels):
        """Counts nothing."""


@attrs.define
class Agent:
    """A worker with its agent, which does exactly what it is told."""

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

    def obey(self, ack):
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


class Cell:
    """A leader's state and scheduler with three agents."""

    def __init__(self):
        self.now = 100.0
        self.state = cell.State()
        self.scheduler = scheduler.Scheduler(TIMING, NoMetrics(), self.now)
        self.agents = {name: Agent() for name in WORKERS}
        self.workers = {}
        self.declarations = declaration.Declarations()

    def submit(self, job_id, **spec):
        spec = {"kind": "k", **spec}
        job = messages.JobSpec(job_id, **spec)
        self.state.apply(cell.JobSubmitted(job))

    def beat(self, name, answered=True):
        heartbeat = self.agents[name].heartbeat(name)
        self.workers[name] = termstate.Worker("", heartbeat, self.now)
        self.scheduler.observe(heartbeat, self.state, self.now)
        for ended in heartbeat.ended:
            judged = self.scheduler.classify_end(ended)
            self.state.apply(cell.TaskEnded(**attrs.asdict(judged)))
        grant = self.scheduler.reply(heartbeat, self.state, 1, self.now)
        for event in grant.events:
            self.state.apply(event)
        if answered:
            self.agents[name].obey(grant.ack)

    def plan(self):
        given = survey.Round(
            self.state, (), self.workers, self.declarations, self.now
        )
        plan = self.scheduler.plan(given)
        for event in plan.events:
            self.state.apply(event)
        return plan

    def settle(self, turns=4):
        for _ in range(turns):
            self.now += 0.5
            for name in WORKERS:
                self.beat(name)
            self.plan()

    def task(self, task_id):
        return self.state.tasks[task_id]

    def where(self, task_id):
        return [
            name
            for name, agent in self.agents.items()
            if any(key[0] == task_id for key in agent.running)
        ]


class SchedulerAgainstNaive(stateful.RuleBasedStateMachine):
    """Random jobs, ends, lost answers and drains, checked after each step."""

    def __init__(self):
        super().__init__()
        self.cell = Cell()
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
        self.cell.submit(
            f"j{self.jobs}",
            urgency=urgency,
            size=messages.Size(cores, 1000),
            tasks=tasks,
            kind=kind,
        )

    @stateful.rule(number=strategies.integers(1, 20))
    def cancel(self, number):
        self.cell.state.apply(cell.JobCancelled(f"j{number}"))

    @stateful.rule(
        name=strategies.sampled_from(WORKERS), answered=strategies.booleans()
    )
    def beat(self, name, answered):
        agent = self.cell.agents[name]
        before = dict(agent.running)
        self.cell.beat(name, answered)
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
        agent = self.cell.agents[name]
        for key in list(agent.running)[:1]:
            agent.end(key, end)

    @stateful.rule(
        name=strategies.sampled_from(WORKERS),
        state=strategies.sampled_from(messages.TargetState),
    )
    def drain(self, name, state):
        self.cell.agents[name].state = state

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 7.0)))
    def wait(self, seconds):
        self.cell.now += seconds

    @stateful.rule()
    def plan(self):
        waiting = {task.id for task in self.cell.state.waiting()}
        plan = self.cell.plan()
        for event in plan.events:
            if isinstance(event, cell.TaskPlaced):
                assert event.task in waiting
                worker = self.cell.workers[event.worker]
                ready = messages.TargetState.READY
                assert worker.heartbeat.state is ready
                assert (
                    worker.last_granted_s
                    >= self.cell.now - TIMING.silent_ms / 1000
                )
        self.check_idle_room()

    def check_idle_room(self):
        """The naive rule: nothing waits while it would fit somewhere."""
        now = self.cell.now
        term = self.cell.scheduler.term
        if term.reservations:
            return
        for task in self.cell.state.waiting():
            if term.blame.earliest_start_s(task.id) > now:
                continue
            if term.blame.failed_workers(task.id):
                continue
            for name in self.open_workers():
                free = self.naive_free(name)
                assert not accounting.fits(task.spec.size, free), (
                    f"{task.id} waits though {name} has {free}"
                )

    def open_workers(self):
        cell_ = self.cell
        blamed = cell_.scheduler.term.blame
        for name, worker in cell_.workers.items():
            if (
                worker.last_granted_s >= cell_.now - TIMING.silent_ms / 1000
                and worker.heartbeat.state is messages.TargetState.READY
                and blamed.worker_status(name, cell_.now)
                is failuretracker.WorkerStatus.TRUSTED
            ):
                yield name

    def naive_free(self, name):
        held = {
            (task.id, task.attempt): task.spec.size
            for task in self.cell.state.placed()
            if task.worker == name
        }
        for usage in self.cell.workers[name].heartbeat.usage:
            key = (usage.task, usage.attempt)
            held.setdefault(key, usage.reserved)
        return messages.Size(
            CAPACITY.cores - sum(s.cores for s in held.values()),
            CAPACITY.memory_mb - sum(s.memory_mb for s in held.values()),
            0,
        )

    @stateful.invariant()
    def never_in_two_places(self):
        running = [
            key[0]
            for agent in self.cell.agents.values()
            for key in agent.running
        ]
        assert len(running) == len(set(running))

    @stateful.invariant()
    def never_over_capacity(self):
        for agent in self.cell.agents.values():
            cores = sum(o.reserved.cores for o in agent.running.values())
            assert cores <= CAPACITY.cores


SchedulerAgainstNaive.TestCase.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=40
)
TestScheduler = SchedulerAgainstNaive.TestCase


class TestPreemption:
    def test_urgent_work_evicts_the_least_urgent(self):
        found = Cell()
        found.settle(1)
        normal = messages.Urgency.NORMAL
        found.submit("n", size=messages.Size(4, 100), tasks=3, urgency=normal)
        found.submit("b", size=messages.Size(4, 100), tasks=3)
        found.settle()
        found.submit(
            "u", size=messages.Size(8, 100), urgency=messages.Urgency.URGENT
        )
        found.settle()
        assert found.where("u/0")
        evicted = [
            task
            for task in found.state.tasks.values()
            if task.reason == "evicted" or task.checkpoint
        ]
        assert {task.spec.id for task in evicted} == {"b"}
        assert all(task.checkpoint for task in evicted)

    def test_critical_work_is_never_preempted(self):
        found = Cell()
        found.settle(1)
        for number in range(3):
            found.submit(
                f"c{number}",
                size=messages.Size(8, 100),
                urgency=messages.Urgency.CRITICAL,
            )
        found.settle()
        found.submit(
            "u", size=messages.Size(8, 100), urgency=messages.Urgency.URGENT
        )
        found.settle()
        assert not found.where("u/0")


class TestUrgency:
    def test_an_operator_changes_the_class_of_a_kind(self):
        found = Cell()
        found.declarations = declaration.Declarations(
            urgencies=(declaration.KindUrgency("hot", "urgent"),)
        )
        found.settle(1)
        found.submit("b", size=messages.Size(8, 100), tasks=3)
        found.settle()
        found.submit("h", kind="hot", size=messages.Size(8, 100))
        found.settle()
        assert found.where("h/0")


class TestLimits:
    def test_a_task_too_large_is_parked_with_the_reason(self):
        found = Cell()
        found.settle(1)
        found.submit("big", size=messages.Size(9, 100))
        found.settle()
        assert "no worker is large enough" in found.task("big/0").reason
        rows = found.scheduler.explain("big/0", found.state).rows
        assert any("declare smaller tasks" in row for row in rows)

    def test_a_job_too_large_is_refused_once_workers_are_known(self):
        found = Cell()
        found.settle(1)
        spec = messages.JobSpec("big", "k", size=messages.Size(9, 100))
        admit = found.scheduler.check_admission
        assert admit(spec, found.workers, found.now) is None
        refused = admit(spec, found.workers, found.now + 20)
        assert "8 cores" in refused.message

    def test_a_team_stays_within_its_quota(self):
        found = Cell()
        found.declarations = declaration.Declarations(
            teams=(declaration.Team("t", cores=6.0),)
        )
        found.settle(1)
        found.submit("q", team="t", size=messages.Size(2, 100), tasks=8)
        found.settle()
        assert len(found.state.placed()) == 3
        assert "quota of 6 cores" in found.state.waiting()[0].reason

    def test_a_lowered_batch_share_evicts_down_to_it(self):
        found = Cell()
        found.settle(1)
        found.submit("b", size=messages.Size(4, 100), tasks=6)
        found.settle()
        limits = declaration.Limits(batch_share=0.5)
        found.declarations = declaration.Declarations(limits=limits)
        found.settle()
        assert len(found.state.placed()) == 3
        assert sum(bool(t.checkpoint) for t in found.state.waiting()) == 3

    def test_a_draining_worker_is_emptied_by_checkpoint(self):
        found = Cell()
        found.settle(1)
        found.submit("b", size=messages.Size(2, 100), tasks=3)
        found.settle()
        (worker,) = found.where("b/0")
        found.agents[worker].state = messages.TargetState.DRAINING
        found.settle()
        assert not found.agents[worker].running
        assert found.task("b/0").checkpoint == "b/0@1"
        assert found.where("b/0") != [worker]


class TestStarvation:
    @pytest.mark.parametrize("urgency", ["URGENT", "NORMAL"])
    def test_batch_starts_in_an_endless_flood(self, urgency):
        found = Cell()
        found.settle(1)
        found.submit("b", size=messages.Size(4, 100))
        level = messages.Urgency[urgency]
        waited = 0
        for number in range(600):
            found.submit(
                f"f{number}",
                size=messages.Size(2, 100),
                tasks=4,
                urgency=level,
            )
            found.settle(1)
            for agent in found.agents.values():
                for key in list(agent.running)[:2]:
                    if key[0].startswith("f"):
                        agent.end(key, messages.TaskEnd.COMPLETED)
            waited += 0.5
            if found.where("b/0"):
                break
        assert found.where("b/0")
        assert waited <= survey.STARVATION_S + 30


class TestSpread:
    def test_what_must_survive_is_spread_over_racks(self):
        found = Cell()
        found.settle(1)
        found.submit("s", tasks=3, survive=True)
        found.settle()
        assert {found.task(f"s/{n}").worker for n in range(3)} == set(WORKERS)


class TestStrangers:
    def test_an_attempt_that_the_state_does_not_know_takes_room(self):
        found = Cell()
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
        for agent in found.agents.values():
            agent.running["x/0", 1] = order
        for name in WORKERS:
            found.beat(name, answered=False)
        found.submit("b", size=messages.Size(4, 100))
        assert not found.plan().events
        found.settle()
        assert found.where("b/0")


class TestRestart:
    def test_a_worker_that_restarted_gets_no_attempt_twice(self):
        found = Cell()
        found.settle(1)
        found.submit("b")
        found.settle()
        (worker,) = found.where("b/0")
        agent = found.agents[worker]
        agent.running.clear()
        agent.boot = "second"
        found.beat(worker)
        assert found.task("b/0").reason == "its worker restarted"
        found.settle()
        assert found.task("b/0").attempt == 2
        agent.boot = "first"
        found.beat(worker)
        assert found.task("b/0").state is cell.TaskState.PLACED


class TestUnstarted:
    def test_a_start_whose_answer_is_lost_holds_its_place_until_it_lapsed(
        self,
    ):
        found = Cell()
        found.settle(1)
        found.submit("b")
        found.plan()
        worker = found.task("b/0").worker
        found.beat(worker, answered=False)
        found.state.apply(cell.JobCancelled("b"))
        found.now += 5.5
        found.beat(worker, answered=False)
        assert found.task("b/0").state is cell.TaskState.PLACED
        found.now += 1
        found.beat(worker)
        assert found.task("b/0").state is cell.TaskState.CANCELLED
