"""Eleven workers on a manual clock, driven through the decision modules."""

from collections.abc import Callable

import attrs

from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import declaration
from pomelostair import executor
from pomelostair import messages
from pomelostair import scheduler as scheduler_module
from pomelostair import termstate
from pomelostair import workerclient
from pomelostair_standins import machine as machine_module

WORKERS = 11
WORKERS_PER_RACK = 3
ZONES = 3
STEP_S = 0.5
HEARTBEAT_STEPS = 1
LEASE_S = 5.0
ZERO_PROGRESS = 0.0
KEPT = (messages.TaskEnd.COMPLETED, messages.TaskEnd.EVICTED)


@attrs.define
class Tally:
    """What a run of the fleet showed.

    Attributes:
        completed: Completed batch tasks.
        work: Work that batch tasks did, in core-seconds of their speed when
            alone, without what was lost.
        wasted: Core-seconds of work that was lost.
        evictions: Evicted attempts.
        slowdowns: Slowdown of each latency-critical task at each step.
        waits: Seconds from submission to start of each urgent task.
        worst: Highest use over capacity on any worker.
    """

    completed: int = 0
    work: float = 0.0
    wasted: float = 0.0
    evictions: int = 0
    slowdowns: list[float] = attrs.field(factory=list)
    waits: list[float] = attrs.field(factory=list)
    worst: float = 0.0


class Fleet:
    """Runs jobs under one scheduler.

    Args:
        scheduler: What decides.
        behaviour: How every worker behaves.
        declarations: Declarations in force.
    """

    def __init__(
        self,
        scheduler: scheduler_module.Scheduler,
        behaviour: machine_module.Behaviour,
        declarations: declaration.Declarations | None = None,
    ):
        self._scheduler = scheduler
        self._declarations = declarations or declaration.Declarations()
        self._state = cell_module.State()
        self._machines = {
            f"worker-{index + 1}": machine_module.Machine(behaviour)
            for index in range(WORKERS)
        }
        self._workers: dict[str, termstate.Worker] = {}
        self._saved: dict[str, float] = {}
        self._submitted: dict[str, float] = {}
        self._now = 0.0
        self._steps = 0
        self._tally = Tally()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._now

    @property
    def state(self) -> cell_module.State:
        """State of the cell."""
        return self._state

    @property
    def machines(self) -> dict[str, machine_module.Machine]:
        """The workers by name."""
        return self._machines

    def submit(self, spec: messages.JobSpec) -> None:
        """Submits a job."""
        self._submitted[spec.id] = self._now
        self._state.apply(cell_module.JobSubmitted(spec))

    def run(self, seconds: float, each_step: Callable[[], None]) -> Tally:
        """Runs for some seconds and returns what was seen.

        Args:
            seconds: Length of the run.
            each_step: Called at the start of every step.
        """
        end = self._now + seconds
        while self._now < end:
            each_step()
            self._step()
        self._count_unended()
        self._tally.worst = max(
            m.peak_utilization for m in self._machines.values()
        )
        return self._tally

    def _count_unended(self) -> None:
        for machine in self._machines.values():
            for run in machine.runs.values():
                batch = run.order.urgency is messages.Urgency.BATCH
                if batch and run.state == machine_module.RUNNING:
                    self._tally.work += run.work_s * run.used.cores

    def _step(self) -> None:
        self._now += STEP_S
        self._steps += 1
        for index, (name, machine) in enumerate(self._machines.items()):
            machine.advance(self._now * 1000, self._now)
            self._sample(machine)
            if (self._steps + index) % HEARTBEAT_STEPS == 0:
                self._beat(name, index, machine)
        decided = cellview.RoundInputs(
            self._state, (), self._workers, self._declarations, self._now
        )
        plan = self._scheduler.plan(decided)
        for event in plan.events:
            self._state.apply(event)
        for index, (name, machine) in enumerate(self._machines.items()):
            if name in plan.workers_to_notify:
                self._beat(name, index, machine)

    def _sample(self, machine: machine_module.Machine) -> None:
        for run in machine.runs.values():
            critical = run.order.urgency is messages.Urgency.CRITICAL
            if critical and run.state == machine_module.RUNNING:
                self._tally.slowdowns.append(run.slowdown)

    def _beat(
        self, name: str, index: int, machine: machine_module.Machine
    ) -> None:
        status = machine.status()
        running = machine_module.RUNNING
        heartbeat = messages.Heartbeat(
            worker=name,
            zone=f"zone-{index // WORKERS_PER_RACK % ZONES}",
            rack=f"rack-{index // WORKERS_PER_RACK}",
            capacity=machine.behaviour.capacity,
            state=messages.TargetState.READY,
            usage=tuple(
                executor.task_usage(t)
                for t in status.tasks
                if t.state == running
            ),
            ended=tuple(
                executor.task_ended(t)
                for t in status.tasks
                if t.state != running
            ),
            now_ms=status.now_ms,
        )
        self._workers[name] = termstate.Worker("", heartbeat, self._now)
        self._scheduler.observe(heartbeat, self._state, self._now)
        for ended in heartbeat.ended:
            self._end(self._scheduler.classify_end(ended), machine)
        grant = self._scheduler.reply(heartbeat, self._state, 1, self._now)
        for event in grant.events:
            self._state.apply(event)
        self._obey(grant.ack, machine)

    def _end(
        self, ended: messages.TaskEnded, machine: machine_module.Machine
    ) -> None:
        task = self._state.tasks[ended.task]
        current = (
            task.state is cell_module.TaskState.PLACED
            and task.attempt == ended.attempt
        )
        if not current:
            return
        run = machine.runs[ended.task, ended.attempt]
        batch = task.spec.urgency is messages.Urgency.BATCH
        work = run.work_s * run.used.cores
        if ended.end in KEPT:
            self._tally.work += work * batch
        else:
            self._tally.wasted += work
        match ended.end:
            case messages.TaskEnd.COMPLETED:
                self._tally.completed += batch
            case messages.TaskEnd.EVICTED:
                self._tally.evictions += 1
        self._state.apply(
            cell_module.TaskEnded(
                ended.task,
                ended.attempt,
                ended.end,
                ended.detail,
                ended.checkpoint,
            )
        )

    def _obey(
        self, ack: messages.HeartbeatAck, machine: machine_module.Machine
    ) -> None:
        expires_ms = (self._now + LEASE_S) * 1000
        for task, attempt in ack.renew:
            machine.renew(workerclient.Renewal(task, attempt, expires_ms))
        for key in ack.acknowledged:
            machine.forget(workerclient.Attempt(*key))
        for order in ack.throttle:
            machine.throttle(
                workerclient.Throttle(order.task, order.attempt, order.share)
            )
        for stop in ack.stop:
            self._stop(stop, machine)
        for order in ack.start:
            self._start(order, machine, expires_ms)

    def _stop(
        self, stop: messages.StopOrder, machine: machine_module.Machine
    ) -> None:
        end = messages.TaskEnd.STOPPED
        key = f"{stop.task}/{stop.attempt}"
        if stop.checkpoint:
            attempt = workerclient.Attempt(stop.task, stop.attempt)
            saved = machine.checkpoint(attempt)
            if saved is None:
                return
            self._saved[key] = saved.progress
            end = messages.TaskEnd.EVICTED
        machine.stop(workerclient.Stop(stop.task, stop.attempt, end, key))

    def _start(
        self,
        order: messages.StartOrder,
        machine: machine_module.Machine,
        expires_ms: float,
    ) -> None:
        known = (order.task, order.attempt) in machine.runs
        progress = self._saved.get(order.checkpoint, ZERO_PROGRESS)
        machine.start(workerclient.Start(order, progress, expires_ms))
        if order.urgency is messages.Urgency.URGENT and not known:
            job = self._state.tasks[order.task].spec.id
            self._tally.waits.append(self._now - self._submitted[job])
