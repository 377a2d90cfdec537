"""Scheduling of a cell: what is placed where, and what a heartbeat gets.

The leader hands in the state, the workers and the limits in force; decisions
come back as events to log and as answers to heartbeats. Nothing here waits or
sends.
"""

import attrs

from pomelostair import cell as cell_module
from pomelostair import declaration
from pomelostair import events
from pomelostair import eviction
from pomelostair import grants
from pomelostair import ledger
from pomelostair import log
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import relief
from pomelostair import reports
from pomelostair import rounds
from pomelostair import settings as settings_module
from pomelostair import survey
from pomelostair import termstate

REFUSE_AFTER_S = 10.0
MAX_BOOTS = 16

Key = tuple[str, int]


class Scheduler:
    """Decides for one term of a leader; a new term starts with a new one.

    Args:
        timing: Leases and intervals.
        metrics: Where decisions are counted.
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
        self._adopted = False
        self._declarations = declaration.Declarations()
        self._judged: dict[str, dict[Key, bool]] = {}

    @property
    def term(self) -> termstate.TermState:
        """What was learned and ordered in this term."""
        return self._term

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        """Learns from the reports of a heartbeat and relieves its worker."""
        self._adopt(state, now)
        if not self._is_latest(heartbeat):
            return
        self._judge_all(heartbeat, state, now)
        found = self._reports(heartbeat.worker)
        steps = self._relief(heartbeat)
        steps.keep({(u.task, u.attempt) for u in heartbeat.usage})
        found.take(self._scene(heartbeat, state, found, now))
        fresh = [
            usage
            for usage in heartbeat.usage
            if usage.read_ms is not None
            and found.fresh((usage.task, usage.attempt), usage.read_ms)
        ]
        self._learn(heartbeat, fresh, found, state, now)
        self._unload(heartbeat, state, steps, now)
        self._calm(heartbeat, fresh, found, steps, now)

    def judged(self, ended: messages.TaskEnded) -> messages.TaskEnded:
        """Returns an end with the blame that it deserves.

        A failure on a worker that fails everything does not count against
        the task.
        """
        for judged in self._judged.values():
            if judged.get((ended.task, ended.attempt)):
                return attrs.evolve(
                    ended,
                    end=messages.TaskEnd.REFUSED,
                    detail=f"the worker is quarantined: {ended.detail}",
                )
        return ended

    def grant(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        epoch: int,
        now: float,
    ) -> grants.Grant:
        """Returns the answer to a heartbeat."""
        self._adopt(state, now)
        if not self._is_latest(heartbeat):
            return grants.Grant(messages.HeartbeatAck(epoch))

        def unstarted(key: Key) -> bool:
            return self._is_unstarted(key, now)

        grant = grants.answer(
            heartbeat,
            state,
            epoch,
            grants.Orders(
                self._term.evictions,
                self._shares(heartbeat.worker),
                self._term.planned_size,
                unstarted,
            ),
        )
        for order in grant.ack.start:
            key = (order.task, order.attempt)
            self._term.start_ordered_s[key] = now
            self._term.ordered_sizes.setdefault(
                key, order.reserved or order.size
            )
        return grant

    def admit(
        self,
        spec: messages.JobSpec,
        workers: dict[str, termstate.Worker],
        now: float,
    ) -> outcome.Refused | None:
        """Returns why a job can never run, or None if it can or may.

        Args:
            spec: The declared job.
            workers: Workers by name.
            now: Monotonic seconds.
        """
        if not workers or now - self._term.started_s < REFUSE_AFTER_S:
            return None
        capacities = [w.heartbeat.capacity for w in workers.values()]
        if any(ledger.fits(spec.size, capacity) for capacity in capacities):
            return None
        most = capacities[0]
        for capacity in capacities:
            most = ledger.largest(most, capacity)
        return outcome.Refused(
            outcome.Kind.NEVER_FITS,
            "declare smaller tasks; no worker has more than "
            f"{most.cores:g} cores, {most.memory_mb} MB and "
            f"{most.accelerators} accelerators",
        )

    def explain(
        self, task: str, state: cell_module.State
    ) -> messages.Explanation:
        """Returns the recorded decisions about a task."""
        known = state.tasks.get(task)
        if known is None:
            return messages.Explanation(task, ())
        latest = f"{known.state.value}: {known.reason}"
        return messages.Explanation(
            task, (*self._term.decisions.rows(task), latest)
        )

    def plan(self, decided: survey.Round) -> rounds.Plan:
        """Returns the decisions of one round."""
        self._adopt(decided.state, decided.now)
        self._declarations = decided.declarations
        silent_s = self._timing.silent_ms / 1000
        return rounds.Planner(self._term, decided, silent_s).plan()

    def _adopt(self, state: cell_module.State, now: float) -> None:
        if self._adopted:
            return
        self._adopted = True
        for task in state.placed():
            self._term.start_ordered_s[task.id, task.attempt] = now

    def _is_latest(self, heartbeat: messages.Heartbeat) -> bool:
        """Returns whether a heartbeat is of its worker's latest start."""
        boots = self._term.boots.setdefault(heartbeat.worker, [])
        if heartbeat.boot not in boots:
            boots.append(heartbeat.boot)
            del boots[:-MAX_BOOTS]
        return boots[-1] == heartbeat.boot

    def _is_unstarted(self, key: Key, now: float) -> bool:
        offered = self._term.start_ordered_s.get(key)
        if offered is None:
            return True
        lapse_ms = self._timing.task_lease_ms + self._timing.lease_margin_ms
        return now - offered > lapse_ms / 1000

    def _reports(self, worker: str) -> reports.WorkerReports:
        return self._term.reports.setdefault(worker, reports.WorkerReports())

    def _relief(self, heartbeat: messages.Heartbeat) -> relief.Relief:
        found = self._term.relief.get(heartbeat.worker)
        if found is None or found.capacity != heartbeat.capacity:
            found = relief.Relief(heartbeat.capacity)
            self._term.relief[heartbeat.worker] = found
        return found

    def _shares(self, worker: str) -> dict[Key, float]:
        found = self._term.relief.get(worker)
        return {} if found is None else dict(found.shares)

    def _judge_all(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        now: float,
    ) -> None:
        before = self._judged.get(heartbeat.worker, {})
        judged: dict[Key, bool] = {}
        for ended in heartbeat.ended:
            key = (ended.task, ended.attempt)
            if key not in before:
                judged[key] = self._judge(heartbeat.worker, ended, state, now)
            else:
                judged[key] = before[key]
        self._judged[heartbeat.worker] = judged

    def _judge(
        self,
        worker: str,
        ended: messages.TaskEnded,
        state: cell_module.State,
        now: float,
    ) -> bool:
        task = state.tasks.get(ended.task)
        if task is None or task.attempt != ended.attempt:
            return False
        self._metrics.count("task_ends", end=ended.end.value)
        match ended.end:
            case messages.TaskEnd.COMPLETED:
                if self._term.blame.complete(task.id, task.spec.kind, worker):
                    log.emit(events.Events.WORKER_RESTORED, worker=worker)
            case messages.TaskEnd.REFUSED:
                self._term.start_refused_s[worker] = now
            case messages.TaskEnd.FAILED:
                blamed = self._term.blame.fail(
                    task.id, task.spec.kind, worker, now
                )
                if blamed:
                    log.emit(
                        events.Events.WORKER_QUARANTINED,
                        worker=worker,
                        detail=ended.detail,
                    )
                return blamed
        return False

    def _scene(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        found: reports.WorkerReports,
        now: float,
    ) -> reports.Scene:
        """Returns what runs now; its load is that of the ordered shares.

        Reports lag, and a throttled attempt still reports its full load.
        """
        shares = self._shares(heartbeat.worker)
        residents: dict[Key, reports.Resident] = {}
        for usage in heartbeat.usage:
            key = (usage.task, usage.attempt)
            task = state.tasks.get(usage.task)
            if task is None:
                continue
            share = shares.get(key, 1.0)
            if usage.read_ms is None:
                full = self._term.estimates.typical(
                    task.spec.kind, task.spec.size
                )
            else:
                full = found.full(key, usage.used)
            residents[key] = reports.Resident(
                task.spec.kind,
                self._declarations.urgency_of(
                    task.spec.kind, task.spec.urgency
                ),
                attrs.evolve(full, cores=full.cores * share),
                share,
            )
        return reports.Scene(now, residents)

    def _learn(
        self,
        heartbeat: messages.Heartbeat,
        fresh: list[messages.TaskUsage],
        found: reports.WorkerReports,
        state: cell_module.State,
        now: float,
    ) -> None:
        scenes: dict[float, reports.Scene | None] = {}
        for usage in fresh:
            assert usage.read_ms is not None
            age_s = max(0.0, heartbeat.now_ms - usage.read_ms) / 1000
            if age_s not in scenes:
                scenes[age_s] = found.at(now - age_s)
            scene = scenes[age_s]
            key = (usage.task, usage.attempt)
            if (
                scene is None
                or key not in scene.residents
                or usage.task not in state.tasks
            ):
                continue
            task = state.tasks[usage.task]
            if scene.residents[key].share >= 1:
                self._term.estimates.learn(
                    task.spec.kind, key, task.spec.size, usage.used
                )
            self._learn_slowdown(heartbeat.capacity, usage, scene, now)

    def _learn_slowdown(
        self,
        capacity: messages.Size,
        usage: messages.TaskUsage,
        scene: reports.Scene,
        now: float,
    ) -> None:
        key = (usage.task, usage.attempt)
        resident = scene.residents[key]
        used = scene.used
        if used.cores <= capacity.cores and used.memory_mb <= (
            capacity.memory_mb
        ):
            self._term.interference.learn(
                resident.kind,
                reports.loads(scene, key, capacity),
                usage.slowdown,
                now,
            )

    def _unload(
        self,
        heartbeat: messages.Heartbeat,
        state: cell_module.State,
        steps: relief.Relief,
        now: float,
    ) -> None:
        read = [u for u in heartbeat.usage if u.read_ms is not None]
        if not read:
            return
        oldest_ms = min(u.read_ms for u in read if u.read_ms is not None)
        candidates = tuple(
            self._candidate(usage, state)
            for usage in read
            if self._may_yield(usage, state)
        )
        decided = steps.unload(
            relief.total([usage.used for usage in read]),
            now - max(0.0, heartbeat.now_ms - oldest_ms) / 1000,
            candidates,
            now,
        )
        if decided:
            self._metrics.count("workers_over_capacity")
            log.emit(
                events.Events.WORKER_OVER_CAPACITY, worker=heartbeat.worker
            )
        self._carry_out(decided, now)

    def _may_yield(
        self, usage: messages.TaskUsage, state: cell_module.State
    ) -> bool:
        task = state.tasks.get(usage.task)
        return (
            task is not None
            and task.attempt == usage.attempt
            and (usage.task, usage.attempt) not in self._term.evictions
        )

    def _candidate(
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

    def _calm(
        self,
        heartbeat: messages.Heartbeat,
        fresh: list[messages.TaskUsage],
        found: reports.WorkerReports,
        steps: relief.Relief,
        now: float,
    ) -> None:
        scene = found.latest
        if scene is None:
            return
        readings = tuple(
            reading
            for reading in (
                _reading(usage, heartbeat, scene, now) for usage in fresh
            )
            if reading is not None
            and reading.urgency is messages.Urgency.CRITICAL
        )
        neighbours = {
            key: resident
            for key, resident in scene.residents.items()
            if resident.urgency > messages.Urgency.URGENT
            and key not in self._term.evictions
        }

        def harm(
            reading: relief.Report, neighbour: reports.Resident
        ) -> tuple[float, float]:
            factor = self._term.interference.factor(
                reading.kind, neighbour.kind, now
            )
            load = neighbour.used.cores / heartbeat.capacity.cores
            return factor * load, load

        def bearable(keys: frozenset[Key]) -> bool:
            return self._is_bearable(scene, keys, heartbeat.capacity, now)

        found_steps = steps.calm(readings, neighbours, harm, bearable, now)
        self._carry_out(found_steps, now)

    def _is_bearable(
        self,
        scene: reports.Scene,
        keys: frozenset[Key],
        capacity: messages.Size,
        now: float,
    ) -> bool:
        """Returns whether attempts at full speed disturb nobody much."""
        missing: dict[str, float] = {}
        for key in keys & scene.residents.keys():
            resident = scene.residents[key]
            cores = resident.used.cores * (1 / resident.share - 1)
            missing[resident.kind] = missing.get(resident.kind, 0.0) + cores
        used = scene.used
        if used.cores + sum(missing.values()) > capacity.cores:
            return False
        for other, victim in scene.residents.items():
            if victim.urgency is not messages.Urgency.CRITICAL:
                continue
            loads = reports.loads(scene, other, capacity)
            for kind, cores in missing.items():
                loads[kind] = loads.get(kind, 0.0) + cores / capacity.cores
            slowdown = self._term.interference.slowdown(victim.kind, loads, now)
            if slowdown > relief.CALM_SLOWDOWN:
                return False
        return True

    def _carry_out(self, steps: tuple[relief.Step, ...], now: float) -> None:
        for step in steps:
            match step:
                case relief.Throttled(key=key, share=share, reason=reason):
                    text = f"throttled to {share:g}: {reason}"
                    log.emit(
                        events.Events.TASK_THROTTLED, task=key[0], share=share
                    )
                    self._metrics.count("tasks_throttled")
                case relief.Evicted(key=key, reason=reason):
                    text = f"evicted: {reason}"
                    self._term.evictions[key] = reason
                    log.emit(
                        events.Events.TASK_EVICTED, task=key[0], reason=reason
                    )
                    self._metrics.count("tasks_evicted", reason="relief")
            self._term.decisions.record(key[0], now, text)


def _reading(
    usage: messages.TaskUsage,
    heartbeat: messages.Heartbeat,
    scene: reports.Scene,
    now: float,
) -> relief.Report | None:
    key = (usage.task, usage.attempt)
    resident = scene.residents.get(key)
    if resident is None or usage.read_ms is None:
        return None
    age_s = max(0.0, heartbeat.now_ms - usage.read_ms) / 1000
    return relief.Report(
        key, resident.kind, resident.urgency, usage.slowdown, now - age_s
    )
