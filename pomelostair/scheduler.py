"""Scheduler of a cell: places tasks and builds the replies to heartbeats.

The leader passes in the committed state, the workers and the declarations in
force. Decisions are returned as events to log and as replies to heartbeats.
The module does no I/O and never blocks.
"""

import attrs

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import declaration
from pomelostair import events
from pomelostair import eviction
from pomelostair import heartbeatreply
from pomelostair import log
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import reports
from pomelostair import rounds
from pomelostair import settings as settings_module
from pomelostair import termstate
from pomelostair import throttling

# No job is refused earlier in a term, since not all workers have reported yet.
ADMISSION_CHECK_DELAY_S = 10.0
# Starts of a worker whose ids are remembered to ignore their late heartbeats.
MAX_BOOT_IDS = 16

AttemptKey = tuple[str, int]


class Scheduler:
    """Makes the scheduling decisions of one term of a leader.

    What it learns is not logged, so each term starts with a new instance.

    Args:
        timing: Leases and intervals.
        metrics: Metrics that count the decisions.
        now: Monotonic seconds at the start of the term.
    """

    def __init__(
        self,
        timing: settings_module.Timing,
        metrics: metrics_module.Metrics,
        now: float,
    ):
        self._timing = timing
        self._metrics = metrics
        self._term = termstate.TermState(now)
        self._has_adopted = False
        self._declarations = declaration.Declarations()
        self._worker_faults: dict[str, dict[AttemptKey, bool]] = {}

    @property
    def term(self) -> termstate.TermState:
        """State that was learned and ordered in this term."""
        return self._term

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Updates the models from a heartbeat and limits its worker's load.

        Attempts are throttled or evicted if the worker is overloaded, or if a
        latency-critical task on it is slowed down.

        Args:
            heartbeat: The heartbeat; ignored if its worker has restarted
                since.
            state: Committed state of the cell.
            now: Monotonic seconds.
        """
        self._adopt_placed_attempts(state, now)
        if not self._is_latest(heartbeat):
            return
        self._classify_ends(heartbeat, state, now)
        worker_reports = self._worker_reports(heartbeat.worker)
        controller = self._throttle_controller(heartbeat)
        controller.retain({(u.task, u.attempt) for u in heartbeat.usage})
        worker_reports.add_snapshot(
            self._snapshot(heartbeat, state, worker_reports, now)
        )
        fresh_usage = [
            usage
            for usage in heartbeat.usage
            if usage.read_ms is not None
            and worker_reports.accept_reading(
                (usage.task, usage.attempt), usage.read_ms
            )
        ]
        self._update_models(heartbeat, fresh_usage, worker_reports, state, now)
        self._relieve_overload(heartbeat, state, controller, now)
        self._relieve_interference(
            heartbeat, fresh_usage, worker_reports, controller, now
        )

    def classify_end(self, ended: messages.TaskEnded) -> messages.TaskEnded:
        """Returns the end of an attempt as it is to be logged.

        A failure that is attributed to the worker is logged as refused, so
        that it does not count against the task.
        """
        for faults in self._worker_faults.values():
            if faults.get((ended.task, ended.attempt)):
                return attrs.evolve(
                    ended,
                    end=messages.TaskEnd.REFUSED,
                    detail=f"the worker is quarantined: {ended.detail}",
                )
        return ended

    def reply(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        epoch: int,
        now: float,
    ) -> heartbeatreply.Reply:
        """Returns the reply to a heartbeat.

        The reply to a heartbeat from an earlier start of the worker is empty.
        """
        self._adopt_placed_attempts(state, now)
        if not self._is_latest(heartbeat):
            return heartbeatreply.Reply(messages.HeartbeatAck(epoch))

        def cannot_start(key: AttemptKey) -> bool:
            return self._cannot_start(key, now)

        reply = heartbeatreply.build(
            heartbeat,
            state,
            epoch,
            heartbeatreply.VolatileState(
                self._term.evictions,
                self._ordered_shares(heartbeat.worker),
                self._term.planned_size,
                cannot_start,
            ),
        )
        for order in reply.ack.start:
            key = (order.task, order.attempt)
            self._term.start_ordered_s[key] = now
            self._term.ordered_sizes.setdefault(
                key, order.reserved or order.size
            )
        return reply

    def check_admission(
        self,
        spec: messages.JobSpec,
        workers: dict[str, termstate.Worker],
        now: float,
    ) -> outcome.Refused | None:
        """Returns why a job can never run, None if it can or may.

        Args:
            spec: The declared job.
            workers: Workers by name.
            now: Monotonic seconds.
        """
        if not workers or now - self._term.started_s < ADMISSION_CHECK_DELAY_S:
            return None
        capacities = [w.heartbeat.capacity for w in workers.values()]
        if any(accounting.fits(spec.size, capacity) for capacity in capacities):
            return None
        max_capacity = capacities[0]
        for capacity in capacities:
            max_capacity = accounting.maximum(max_capacity, capacity)
        return outcome.Refused(
            outcome.Kind.NEVER_FITS,
            "declare smaller tasks; no worker has more than "
            f"{max_capacity.cores:g} cores, {max_capacity.memory_mb} MB and "
            f"{max_capacity.accelerators} accelerators",
        )

    def explain(
        self, task: str, state: cell_module.State
    ) -> messages.Explanation:
        """Returns the recorded decisions about a task."""
        stored_task = state.tasks.get(task)
        if stored_task is None:
            return messages.Explanation(task, ())
        latest = f"{stored_task.state.value}: {stored_task.reason}"
        return messages.Explanation(
            task, (*self._term.decisions.rows(task), latest)
        )

    def plan(self, inputs: cellview.RoundInputs) -> rounds.Plan:
        """Returns the decisions of one scheduling round."""
        self._adopt_placed_attempts(inputs.state, inputs.now_s)
        self._declarations = inputs.declarations
        silent_s = self._timing.silent_ms / 1000
        return rounds.Planner(self._term, inputs, silent_s).plan()

    def _adopt_placed_attempts(
        self, state: cell_module.State, now: float
    ) -> None:
        """Treats attempts of earlier terms as ordered now.

        An earlier leader may have ordered their start just before.
        """
        if self._has_adopted:
            return
        self._has_adopted = True
        for task in state.placed():
            self._term.start_ordered_s[task.id, task.attempt] = now

    def _is_latest(self, heartbeat: messages.Heartbeat) -> bool:
        """Returns whether a heartbeat is from its worker's latest start."""
        boots = self._term.boots.setdefault(heartbeat.worker, [])
        if heartbeat.boot not in boots:
            boots.append(heartbeat.boot)
            del boots[:-MAX_BOOT_IDS]
        return boots[-1] == heartbeat.boot

    def _cannot_start(self, key: AttemptKey, now: float) -> bool:
        """Returns whether no unexpired order to start an attempt exists."""
        last_ordered = self._term.start_ordered_s.get(key)
        if last_ordered is None:
            return True
        expiry_ms = self._timing.task_lease_ms + self._timing.lease_margin_ms
        return now - last_ordered > expiry_ms / 1000

    def _worker_reports(self, worker: str) -> reports.WorkerReports:
        return self._term.reports.setdefault(worker, reports.WorkerReports())

    def _throttle_controller(
        self, heartbeat: messages.Heartbeat
    ) -> throttling.ThrottleController:
        controller = self._term.throttle_controllers.get(heartbeat.worker)
        if controller is None or controller.capacity != heartbeat.capacity:
            controller = throttling.ThrottleController(heartbeat.capacity)
            self._term.throttle_controllers[heartbeat.worker] = controller
        return controller

    def _ordered_shares(self, worker: str) -> dict[AttemptKey, float]:
        controller = self._term.throttle_controllers.get(worker)
        return {} if controller is None else dict(controller.shares)

    def _classify_ends(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Records the ends that no earlier heartbeat reported."""
        earlier_faults = self._worker_faults.get(heartbeat.worker, {})
        faults: dict[AttemptKey, bool] = {}
        for ended in heartbeat.ended:
            key = (ended.task, ended.attempt)
            if key not in earlier_faults:
                faults[key] = self._record_end(
                    heartbeat.worker, ended, state, now
                )
            else:
                faults[key] = earlier_faults[key]
        self._worker_faults[heartbeat.worker] = faults

    def _record_end(
        self,
        worker: str,
        ended: messages.TaskEnded,
        state: cell_module.State,
        now: float,
    ) -> bool:
        """Records an end; returns whether its worker is at fault."""
        task = state.tasks.get(ended.task)
        if task is None or task.attempt != ended.attempt:
            return False
        self._metrics.count("task_ends", end=ended.end.value)
        match ended.end:
            case messages.TaskEnd.COMPLETED:
                if self._term.failure_tracker.record_completion(
                    task.id, task.spec.kind, worker
                ):
                    log.emit(events.Events.WORKER_RESTORED, worker=worker)
            case messages.TaskEnd.REFUSED:
                self._term.start_refused_s[worker] = now
            case messages.TaskEnd.FAILED:
                worker_fault = self._term.failure_tracker.record_failure(
                    task.id, task.spec.kind, worker, now
                )
                if worker_fault:
                    log.emit(
                        events.Events.WORKER_QUARANTINED,
                        worker=worker,
                        detail=ended.detail,
                    )
                return worker_fault
        return False

    def _snapshot(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        worker_reports: reports.WorkerReports,
        now: float,
    ) -> reports.WorkerSnapshot:
        """Returns the running attempts with their load at the ordered shares.

        Reports lag, so an attempt that was just throttled still reports its
        full load.
        """
        shares = self._ordered_shares(heartbeat.worker)
        attempts: dict[AttemptKey, reports.RunningAttempt] = {}
        for usage in heartbeat.usage:
            key = (usage.task, usage.attempt)
            task = state.tasks.get(usage.task)
            if task is None:
                continue
            share = shares.get(key, 1.0)
            if usage.read_ms is None:
                full_usage = self._term.estimates.typical_size(
                    task.spec.kind, task.spec.size
                )
            else:
                full_usage = worker_reports.update_peak_size(key, usage.used)
            attempts[key] = reports.RunningAttempt(
                task.spec.kind,
                self._declarations.urgency_of(
                    task.spec.kind, task.spec.urgency
                ),
                attrs.evolve(full_usage, cores=full_usage.cores * share),
                share,
            )
        return reports.WorkerSnapshot(now, attempts)

    def _update_models(
        self,
        heartbeat: messages.Heartbeat,
        fresh_usage: list[messages.TaskUsage],
        worker_reports: reports.WorkerReports,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Updates the estimated sizes and the interference model.

        Sizes are learned only from attempts that ran unthrottled.
        """
        snapshots: dict[float, reports.WorkerSnapshot | None] = {}
        for usage in fresh_usage:
            assert usage.read_ms is not None
            age_s = max(0.0, heartbeat.now_ms - usage.read_ms) / 1000
            if age_s not in snapshots:
                snapshots[age_s] = worker_reports.snapshot_at(now - age_s)
            snapshot = snapshots[age_s]
            key = (usage.task, usage.attempt)
            if (
                snapshot is None
                or key not in snapshot.attempts
                or usage.task not in state.tasks
            ):
                continue
            task = state.tasks[usage.task]
            if snapshot.attempts[key].speed_share >= 1:
                self._term.estimates.add_report(
                    task.spec.kind, key, task.spec.size, usage.used
                )
            self._learn_slowdown(heartbeat.capacity, usage, snapshot, now)

    def _learn_slowdown(
        self,
        capacity: messages.Size,
        usage: messages.TaskUsage,
        snapshot: reports.WorkerSnapshot,
        now: float,
    ) -> None:
        """Updates the interference model, unless the worker was overloaded."""
        key = (usage.task, usage.attempt)
        attempt = snapshot.attempts[key]
        used = snapshot.used
        if used.cores <= capacity.cores and used.memory_mb <= (
            capacity.memory_mb
        ):
            self._term.interference.learn(
                attempt.kind,
                reports.neighbour_loads(snapshot, key, capacity),
                usage.slowdown,
                now,
            )

    def _relieve_overload(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        controller: throttling.ThrottleController,
        now: float,
    ) -> None:
        """Throttles or evicts attempts if the worker is overloaded."""
        measured = [u for u in heartbeat.usage if u.read_ms is not None]
        if not measured:
            return
        oldest_ms = min(u.read_ms for u in measured if u.read_ms is not None)
        candidates = tuple(
            self._eviction_candidate(usage, state)
            for usage in measured
            if self._is_evictable(usage, state)
        )
        overload_steps = controller.relieve_overload(
            throttling.sum_sizes([usage.used for usage in measured]),
            now - max(0.0, heartbeat.now_ms - oldest_ms) / 1000,
            candidates,
            now,
        )
        if overload_steps:
            self._metrics.count("workers_over_capacity")
            log.emit(
                events.Events.WORKER_OVER_CAPACITY, worker=heartbeat.worker
            )
        self._apply_steps(overload_steps, now)

    def _is_evictable(
        self, usage: messages.TaskUsage, state: cell_module.State
    ) -> bool:
        task = state.tasks.get(usage.task)
        return (
            task is not None
            and task.attempt == usage.attempt
            and (usage.task, usage.attempt) not in self._term.evictions
        )

    def _eviction_candidate(
        self, usage: messages.TaskUsage, state: cell_module.State
    ) -> eviction.Candidate:
        spec = state.tasks[usage.task].spec
        return eviction.Candidate(
            usage.task,
            usage.attempt,
            self._declarations.urgency_of(spec.kind, spec.urgency),
            spec.survive,
            usage.progress,
            usage.used,
        )

    def _relieve_interference(
        self,
        heartbeat: messages.Heartbeat,
        fresh_usage: list[messages.TaskUsage],
        worker_reports: reports.WorkerReports,
        controller: throttling.ThrottleController,
        now: float,
    ) -> None:
        """Throttles or evicts neighbours of slowed latency-critical tasks."""
        snapshot = worker_reports.latest
        if snapshot is None:
            return
        slowdown_reports = tuple(
            report
            for report in (
                _slowdown_report(usage, heartbeat, snapshot, now)
                for usage in fresh_usage
            )
            if report is not None
            and report.urgency is messages.Urgency.CRITICAL
        )
        neighbours = {
            key: attempt
            for key, attempt in snapshot.attempts.items()
            if attempt.urgency > messages.Urgency.URGENT
            and key not in self._term.evictions
        }

        def impact(
            report: throttling.SlowdownReport, neighbour: reports.RunningAttempt
        ) -> tuple[float, float]:
            factor = self._term.interference.factor(
                report.kind, neighbour.kind, now
            )
            load = neighbour.used.cores / heartbeat.capacity.cores
            return factor * load, load

        def can_run_unthrottled(keys: frozenset[AttemptKey]) -> bool:
            return self._can_run_unthrottled(
                snapshot, keys, heartbeat.capacity, now
            )

        interference_steps = controller.relieve_interference(
            slowdown_reports, neighbours, impact, can_run_unthrottled, now
        )
        self._apply_steps(interference_steps, now)

    def _can_run_unthrottled(
        self,
        snapshot: reports.WorkerSnapshot,
        keys: frozenset[AttemptKey],
        capacity: messages.Size,
        now: float,
    ) -> bool:
        """Returns whether attempts can run at full speed.

        They can if the cores suffice and no latency-critical task would be
        slowed beyond what is acceptable.
        """
        added_cores: dict[str, float] = {}
        for key in keys & snapshot.attempts.keys():
            attempt = snapshot.attempts[key]
            cores = attempt.used.cores * (1 / attempt.speed_share - 1)
            added_cores[attempt.kind] = (
                added_cores.get(attempt.kind, 0.0) + cores
            )
        used = snapshot.used
        if used.cores + sum(added_cores.values()) > capacity.cores:
            return False
        for other, victim in snapshot.attempts.items():
            if victim.urgency is not messages.Urgency.CRITICAL:
                continue
            loads = reports.neighbour_loads(snapshot, other, capacity)
            for kind, cores in added_cores.items():
                loads[kind] = loads.get(kind, 0.0) + cores / capacity.cores
            slowdown = self._term.interference.slowdown(victim.kind, loads, now)
            if slowdown > throttling.ACCEPTABLE_SLOWDOWN:
                return False
        return True

    def _apply_steps(
        self, steps: tuple[throttling.Step, ...], now: float
    ) -> None:
        for step in steps:
            match step:
                case throttling.ThrottleStep(
                    key=key, share=share, reason=reason
                ):
                    decision = f"throttled to {share:g}: {reason}"
                    log.emit(
                        events.Events.TASK_THROTTLED, task=key[0], share=share
                    )
                    self._metrics.count("tasks_throttled")
                case throttling.EvictStep(key=key, reason=reason):
                    decision = f"evicted: {reason}"
                    self._term.evictions[key] = reason
                    log.emit(
                        events.Events.TASK_EVICTED, task=key[0], reason=reason
                    )
                    # "relief" stands for both overload and interference.
                    self._metrics.count("tasks_evicted", reason="relief")
            self._term.decisions.record(key[0], now, decision)


def _slowdown_report(
    usage: messages.TaskUsage,
    heartbeat: messages.Heartbeat,
    snapshot: reports.WorkerSnapshot,
    now: float,
) -> throttling.SlowdownReport | None:
    key = (usage.task, usage.attempt)
    attempt = snapshot.attempts.get(key)
    if attempt is None or usage.read_ms is None:
        return None
    age_s = max(0.0, heartbeat.now_ms - usage.read_ms) / 1000
    return throttling.SlowdownReport(
        key, attempt.kind, attempt.urgency, usage.slowdown, now - age_s
    )
