"""Crashes of workers at the start of attempts, and the tasks to blame for them.

A task may crash each worker that starts it, right after its start. The crashes
of workers under a task that had just started are recorded until the task is
seen running for `pipelinemessages.START_CRASH_S`. A task that was among the
last ones started before a crash is a suspect. Suspects start apart from each
other and from other new attempts, so that a further crash shows which task
caused it.
"""

from collections.abc import Iterable
from collections.abc import Set

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineregistry

# Usual bound of the time from the start of a task to the crash that it causes.
# A crashed worker starts nothing, so that the suspects are the attempts that
# started within this time before its last start.
CRASH_DELAY_MS = 50
# Number of hosts whose workers crash under a suspect before it is given up, if
# at least one of the crashes has no suspect of another pipeline, and otherwise.
MAX_HOSTS = 2
MAX_HOSTS_UNCERTAIN = 3
# The same for crashes on fewer hosts.
MAX_CRASHES = 4
# Crashes and early losses of a task, whoever is to blame for them, before it is
# given up. The platform allows five starts of a task that crashes its workers.
MAX_CRASHES_IN_ALL = 5
# Early losses that no agent has reported as crashes, before their task is given
# up. One more may go unseen while the leader changes.
MAX_UNREPORTED_LOSSES = 4
# Run time from which the loss of an attempt with its worker says nothing about
# its task. The lists that show it are up to two report intervals old.
EARLY_LOSS_S = 2.0
# Most unexplained losses that are kept of a task, the latest ones.
MAX_UNEXPLAINED_LOSSES = 8
# Longest wait of a suspect for a worker on another host without new attempts.
# It covers the time in which those are seen to run.
MAX_ISOLATION_WAIT_S = 1.5
# Longest wait of one under which several workers have crashed for a worker
# without other suspects. No pipeline may be idle for 3 s.
MAX_SEPARATION_WAIT_S = 2.5


def is_hopeless(
    crashes: list[pipeline.Crash], early_losses: Set[int] = frozenset()
) -> bool:
    """Returns whether a task is given up.

    Args:
        crashes: Crashes of workers under the task.
        early_losses: Its attempts that were lost early; the agents report only
            some of them as crashes.
    """
    blamed = [crash for crash in crashes if crash.suspects and crash.certain]
    hosts = {crash.host for crash in blamed}
    reported = {crash.attempt for crash in crashes}
    if (
        len(early_losses | reported) >= MAX_CRASHES_IN_ALL
        or len(early_losses - reported) >= MAX_UNREPORTED_LOSSES
        or len(hosts) >= MAX_HOSTS_UNCERTAIN
    ):
        return True
    return any(crash.suspects == 1 for crash in blamed) and (
        len(hosts) >= MAX_HOSTS or len(blamed) >= MAX_CRASHES
    )


def separated(
    task: pipeline.Task, candidates: list[fleet.Worker], now: float
) -> list[fleet.Worker]:
    """Returns the workers on which a suspect is separated best.

    Args:
        task: A suspect task.
        candidates: Workers on which it fits.
        now: Monotonic seconds.
    """
    if candidates and not task.kept_apart_s:
        task.kept_apart_s = now
    waited_s = now - task.kept_apart_s
    hosts = {crash.host for crash in task.crashes if crash.suspects}
    workers = [w for w in candidates if w.agent not in hosts]
    if not workers and waited_s >= MAX_ISOLATION_WAIT_S:
        workers = candidates
    apart = [w for w in workers if not w.unproven]
    alone = [w for w in apart if not _has_new_attempt(w, now)]
    if alone or waited_s < MAX_ISOLATION_WAIT_S:
        return alone
    if apart or (len(task.crashes) > 1 and waited_s < MAX_SEPARATION_WAIT_S):
        return apart
    return workers


def begin_wait(
    tasks: list[pipeline.Task], workers: list[fleet.Worker], now: float
) -> None:
    """Begins the waits of the suspects among tasks that start together.

    Args:
        tasks: Tasks that are ready.
        workers: Workers of their service that accept new attempts.
        now: Monotonic seconds.
    """
    for task in tasks:
        if task.suspect and not task.kept_apart_s and workers:
            task.kept_apart_s = now


def _has_new_attempt(worker: fleet.Worker, now: float) -> bool:
    return any(
        now - placement.ordered_s < messages.START_CRASH_S
        for placement in worker.placements.values()
    )


@attrs.frozen
class _Evidence:
    """What a report tells of the workers on its host.

    Attributes:
        listed: Id and incarnation of each worker whose state it gives.
        alive: The same of workers that have just answered.
        silent: The same of workers that do not respond to their agent.
        gone: The same of workers that have ended.
        blameless: The same of ended workers that do not seem to have crashed.
        known: Incarnations that the agent knows.
    """

    listed: frozenset[fleet.WorkerKey]
    alive: frozenset[fleet.WorkerKey]
    silent: frozenset[fleet.WorkerKey]
    gone: frozenset[fleet.WorkerKey]
    blameless: frozenset[fleet.WorkerKey]
    known: tuple[fleet.KnownIncarnation, ...]

    @classmethod
    def of(cls, report: messages.AgentReport) -> "_Evidence":
        """Returns the evidence in a report."""
        states = report.workers
        return cls(
            _keys(states),
            _keys(s for s in states if s.fresh and s.reachable),
            _keys(s for s in states if _is_silent(s)),
            frozenset(report.gone),
            frozenset(report.blameless),
            tuple(
                fleet.KnownIncarnation(*key, report.addresses.get(key[0], ""))
                for key in report.lives
            ),
        )

    @property
    def alive_lives(self) -> frozenset[int]:
        """Incarnations of the workers that have just answered."""
        return frozenset(life for _, life in self.alive)

    def is_harmless(self, loss: pipeline.Loss) -> bool:
        """Returns whether the worker of a loss shows no sign of a crash."""
        key = (loss.worker, loss.life)
        return key in self.alive or key in self.blameless

    def has_ended(self, loss: pipeline.Loss) -> bool:
        """Returns whether the worker of a loss has ended."""
        lost = fleet.KnownIncarnation(loss.worker, loss.life, loss.address)
        return lost.key in self.gone or any(
            lost.is_succeeded_by(other) for other in self.known
        )

    def update_silence(self, loss: pipeline.Loss) -> pipeline.Loss:
        """Returns a loss with what the agent now says of its worker."""
        key = (loss.worker, loss.life)
        if key not in self.listed:
            return loss
        return attrs.evolve(loss, silent=key in self.silent)


class CrashTracker:
    """Records crashes under tasks, during one term of a leader.

    Args:
        registry: Registry of the pipelines, which stores the crashes.
        attempts: Attempts that may be running.
        metrics: Registry that counts the crashes.
    """

    def __init__(
        self,
        registry: pipelineregistry.PipelineRegistry,
        attempts: attempts_module.Attempts,
        metrics: metrics_module.Metrics,
    ):
        self._registry = registry
        self._attempts = attempts
        self._metrics = metrics
        # Tasks with unexplained losses or uncertain crashes, by the name of the
        # agent that can explain them.
        self._unexplained: dict[str, dict[pipeline.Task, None]] = {}

    def apply(
        self, host: str, crash: messages.WorkerCrash
    ) -> list[pipeline.Task]:
        """Records a crash, unless it was recorded before.

        Args:
            host: Name of the agent that reports it.
            crash: The crash.

        Returns:
            Tasks that are to be given up.
        """
        least_ms = min((ran_ms for _, _, ran_ms in crash.attempts), default=0)
        latest = [
            task_id
            for task_id, _, ran_ms in crash.attempts
            if ran_ms <= least_ms + CRASH_DELAY_MS
        ]
        suspects = len({task_id.partition(".")[0] for task_id in latest})
        hopeless = []
        for task_id, attempt, ran_ms in crash.attempts:
            task = self._registry.find_task(task_id)
            if task is None or not _is_news(task, attempt, crash.certain):
                continue
            record = pipeline.Crash(
                attempt,
                host,
                crash.life,
                suspects if task_id in latest else 0,
                crash.certain,
            )
            self._record(task, record, crash, ran_ms)
            later = [
                placement
                for placement in self._attempts.of_task(task)
                if placement.attempt > attempt
            ]
            for placement in later:
                self._attempts.mark_unproven(placement)
            if is_hopeless(task.crashes, task.counted_losses) and not any(
                placement.reported for placement in later
            ):
                hopeless.append(task)
        return hopeless

    def is_to_be_given_up(self, task: pipeline.Task) -> bool:
        """Returns whether too many workers have crashed under a task.

        A crash may be reported late, if the worker or its agent was away for
        long. What the task does meanwhile on another worker decides.
        """
        return is_hopeless(task.crashes, task.counted_losses) and not any(
            placement.reported for placement in self._attempts.of_task(task)
        )

    def explain(self, report: messages.AgentReport) -> list[pipeline.Task]:
        """Explains earlier losses and uncertain crashes by an agent's report.

        A worker that answers in the same incarnation has not crashed. One that
        has a successor, or that its agent reports as gone, has ended.

        Args:
            report: The report, whose crashes have been applied.

        Returns:
            Tasks that are to be given up.
        """
        for item in self._registry.take_restored():
            for task in item.unfinished():
                for crash in task.crashes:
                    if not crash.certain:
                        self._expect_explanation(task, crash.host)
                for loss in task.unexplained_losses:
                    self._expect_explanation(task, loss.host)
        if report.agent not in self._unexplained:
            return []
        evidence = _Evidence.of(report)
        hopeless = []
        for task in list(self._unexplained[report.agent]):
            if self._explain_task(task, report.agent, evidence):
                self._registry.mark_changed(task.pipeline)
                for placement in self._attempts.of_task(task):
                    self._attempts.mark_unproven(placement)
                if self.is_to_be_given_up(task):
                    hopeless.append(task)
        return hopeless

    def record_loss(self, placement: fleet.Placement) -> bool:
        """Records that an attempt was lost, as its worker has ended.

        An agent that restarts, or is lost with its worker, reports no crash,
        and none reports one after `pipelinemessages.START_CRASH_S`.

        Args:
            placement: The attempt, which is not removed yet.

        Returns:
            Whether its task is to be given up.
        """
        task = placement.task
        if not self._is_early(placement):
            return False
        task.early_losses.add(placement.attempt)
        self._log_loss(placement, "ended")
        return is_hopeless(task.crashes, task.counted_losses) and not any(
            other.reported
            for other in self._attempts.of_task(task)
            if other is not placement
        )

    def record_lapse(self, placement: fleet.Placement) -> None:
        """Records that an attempt was lost, as its worker's leases lapsed.

        The worker or its agent was not heard of; that counts only once it is
        explained.

        Args:
            placement: The attempt, which is not removed yet.
        """
        if not self._is_early(placement):
            return
        task = placement.task
        worker = placement.worker
        loss = pipeline.Loss(
            placement.attempt, worker.agent, *worker.key, worker.address
        )
        task.unexplained_losses.append(loss)
        del task.unexplained_losses[:-MAX_UNEXPLAINED_LOSSES]
        self._expect_explanation(task, worker.agent)
        self._log_loss(placement, "lapsed")

    def _is_early(self, placement: fleet.Placement) -> bool:
        """Returns whether the loss of an attempt may be due to its task."""
        task = placement.task
        if placement.known_run_ms >= EARLY_LOSS_S * 1000:
            self._forget_losses(task)
            return False
        was_ordered = placement.reported or placement.order_number > 0
        return (
            was_ordered
            and not placement.is_adopted
            and placement.state is not fleet.AttemptState.STOPPING
            and not task.pipeline.ended
            and task.phase is not pipeline.TaskPhase.DONE
        )

    def _log_loss(self, placement: fleet.Placement, cause: str) -> None:
        task = placement.task
        worker = placement.worker
        self._metrics.count("early_losses", cause=cause)
        self._registry.mark_changed(task.pipeline)
        log.emit(
            events.Events.ATTEMPT_LOST,
            task=task.id,
            attempt=placement.attempt,
            worker=worker.id,
            life=worker.incarnation,
            host=worker.agent,
            cause=cause,
            listed=placement.reported,
            known_run_ms=placement.known_run_ms,
            losses=len(task.counted_losses),
        )

    def check(self) -> None:
        """Acquits the tasks that were seen running for long enough.

        Of one that runs for `EARLY_LOSS_S`, earlier losses say nothing more.
        """
        for placement in list(self._attempts.unproven.values()):
            state = placement.worker.state
            if not any(
                (row[0], row[1]) == placement.key for row in state.running
            ):
                continue
            if not placement.listed_since_ms:
                placement.listed_since_ms = state.clock_ms
            if placement.known_run_ms >= messages.START_CRASH_S * 1000:
                self.acquit(placement.task, placement.attempt)
            if placement.known_run_ms >= EARLY_LOSS_S * 1000:
                self._forget_losses(placement.task)
                self._attempts.mark_proven(placement)

    def acquit(self, task: pipeline.Task, attempt: int) -> None:
        """Drops the crashes of a task, an attempt of which crashed no worker.

        Args:
            task: The task.
            attempt: Number of the attempt. Earlier crashes that are reported
                later do not count.
        """
        if not task.crashes:
            return
        task.crashes.clear()
        task.proven_attempt = max(task.proven_attempt, attempt)
        for placement in self._attempts.of_task(task):
            if task.has_losses:
                self._attempts.mark_unproven(placement)
            else:
                self._attempts.mark_proven(placement)
        self._registry.mark_changed(task.pipeline)
        self._metrics.count("suspect_tasks_acquitted")

    def apply_end(self, task: pipeline.Task, attempt: int) -> None:
        """Clears a task, an attempt of which has ended by itself.

        Args:
            task: The task.
            attempt: Number of the attempt.
        """
        self.acquit(task, attempt)
        self._forget_losses(task)

    def clear_others(self, guilty: pipeline.Task) -> None:
        """Clears other tasks of the crashes that a task has caused.

        Args:
            guilty: A task that was given up.
        """
        causes = {(c.host, c.life) for c in guilty.crashes if c.suspects}
        for item in self._registry.open.values():
            for task in () if item.ended else item.unfinished():
                if any((c.host, c.life) in causes for c in task.crashes):
                    self._clear(task, causes)

    def stop_awaiting(self, task: pipeline.Task) -> None:
        """Awaits no explanations any more for a task that has ended."""
        hosts = {loss.host for loss in task.unexplained_losses}
        hosts.update(crash.host for crash in task.crashes)
        for host in hosts:
            self._expect_no_explanation(task, host)

    def _expect_explanation(self, task: pipeline.Task, agent: str) -> None:
        self._unexplained.setdefault(agent, {})[task] = None

    def _expect_no_explanation(self, task: pipeline.Task, agent: str) -> None:
        tasks = self._unexplained.get(agent, {})
        tasks.pop(task, None)
        if not tasks:
            self._unexplained.pop(agent, None)

    def _explain_task(
        self, task: pipeline.Task, agent: str, evidence: _Evidence
    ) -> bool:
        """Applies evidence to a task; returns whether that changed anything."""
        crashes = [
            crash
            for crash in task.crashes
            if crash.certain
            or crash.host != agent
            or crash.life not in evidence.alive_lives
        ]
        losses = []
        for loss in task.unexplained_losses:
            if loss.host != agent:
                losses.append(loss)
            elif evidence.is_harmless(loss):
                continue
            elif evidence.has_ended(loss):
                task.early_losses.add(loss.attempt)
            else:
                losses.append(evidence.update_silence(loss))
        is_changed = (
            crashes != task.crashes or losses != task.unexplained_losses
        )
        task.crashes = crashes
        task.unexplained_losses = losses
        if not any(loss.host == agent for loss in losses) and not any(
            crash.host == agent and not crash.certain for crash in crashes
        ):
            self._expect_no_explanation(task, agent)
        return is_changed

    def _forget_losses(self, task: pipeline.Task) -> None:
        if task.has_losses:
            task.early_losses.clear()
            task.unexplained_losses.clear()
            self._registry.mark_changed(task.pipeline)

    def _clear(self, task: pipeline.Task, causes: set[tuple[str, int]]) -> None:
        task.crashes = [
            attrs.evolve(c, suspects=0) if (c.host, c.life) in causes else c
            for c in task.crashes
        ]
        self._registry.mark_changed(task.pipeline)
        for placement in self._attempts.of_task(task):
            self._attempts.mark_unproven(placement)

    def _record(
        self,
        task: pipeline.Task,
        record: pipeline.Crash,
        crash: messages.WorkerCrash,
        ran_ms: int,
    ) -> None:
        task.crashes = [c for c in task.crashes if c.attempt != record.attempt]
        task.crashes.append(record)
        if not record.certain:
            self._expect_explanation(task, record.host)
        task.kept_apart_s = 0.0
        self._registry.mark_changed(task.pipeline)
        self._metrics.count("crashes_at_start")
        log.emit(
            events.Events.WORKER_CRASHED_AT_START,
            task=task.id,
            attempt=record.attempt,
            worker=crash.worker,
            host=record.host,
            ran_ms=ran_ms,
            suspects=record.suspects,
            recent_starts=len(crash.attempts),
            crashes=len(task.crashes),
        )


def _keys(
    states: Iterable[messages.WorkerState],
) -> frozenset[fleet.WorkerKey]:
    return frozenset((state.worker, state.life) for state in states)


def _is_silent(state: messages.WorkerState) -> bool:
    """Returns whether an agent in touch finds a worker silent.

    Older versions of the agent do not tell whether they were suspended.
    """
    return state.lapsed if state.silent is None else state.silent


def _is_news(task: pipeline.Task, attempt: int, certain: bool) -> bool:
    """Returns whether a crash at an attempt of a task counts.

    One that was uncertain counts again once it is certain.
    """
    return (
        not task.pipeline.ended
        and task.phase is not pipeline.TaskPhase.DONE
        and attempt > task.proven_attempt
        and all(
            crash.attempt != attempt or (certain and not crash.certain)
            for crash in task.crashes
        )
    )
