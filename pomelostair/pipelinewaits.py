"""Reports tasks that are not running for long, and why."""

from collections.abc import Callable
from collections.abc import Iterable
import enum

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement_module
from pomelostair import queues

# Wait after which a task is reported.
REPORT_AFTER_S = 2.0
CHECK_INTERVAL_S = 1.0
# Most tasks that are reported after one check.
MAX_REPORTED = 20


class Reason(enum.Enum):
    """Why a task is not running.

    Attributes:
        EARLIER_LEADER: An earlier leader may have started it.
        NO_QUEUE: Its queue is not configured.
        NO_WORKER: No worker of its service accepts attempts.
        EVACUATED: The same, and some are in zones that are being evacuated.
        NO_ROOM: No worker has room for it.
        CONSTRAINTS: No worker with room has its label, or its spread limit is
            reached on them.
        UNPROVEN: It failed before, and the workers with room have no recent
            success.
        PACE: It is a filler, and would run too slowly wherever it fits.
        TICKET: The advisor has approved no worker with room.
        DELAY: It is tried again after a delay, or in a later round.
        UNANSWERED: It is placed, and its worker has not confirmed the start.
    """

    EARLIER_LEADER = "earlier-leader"
    NO_QUEUE = "no-queue"
    NO_WORKER = "no-worker"
    EVACUATED = "evacuated"
    NO_ROOM = "no-room"
    CONSTRAINTS = "constraints"
    UNPROVEN = "unproven"
    PACE = "pace"
    TICKET = "ticket"
    DELAY = "delay"
    UNANSWERED = "unanswered"


def reason_for(
    task: pipeline.Task,
    workers: list[fleet.Worker],
    pacer: pacing.Pacer,
    now: float,
) -> Reason:
    """Returns why a task that may start is not started.

    Args:
        task: A task that is ready.
        workers: Workers of its service that accept new attempts.
        pacer: Predicts the pace of fillers.
        now: Monotonic seconds.
    """
    if not workers:
        return Reason.NO_WORKER
    if task.not_before_s > now:
        return Reason.DELAY
    fitting = [w for w in workers if placement_module.fits(task, w, now)]
    if not fitting:
        return Reason.NO_ROOM
    if not any(
        placement_module.meets_constraints(task, w, now) for w in fitting
    ):
        return Reason.CONSTRAINTS
    if _is_unproven(task, workers, pacer, now):
        return Reason.UNPROVEN
    return Reason.PACE if task.stage.filler else Reason.DELAY


def _is_unproven(
    task: pipeline.Task,
    workers: list[fleet.Worker],
    pacer: pacing.Pacer,
    now: float,
) -> bool:
    return bool(task.avoided_workers) and (
        placement_module.choose(task, workers, pacer, now, 0.0) is None
    )


class WaitMonitor:
    """Reports long waits during one term of a leader.

    Each is reported once, and once more if it goes on after the wait for an
    earlier leader.

    Args:
        workers: All workers by id and incarnation; the scheduler changes them.
        attempts: Attempts that may be running.
        pacer: Predicts the pace of fillers.
        metrics: Registry that counts the reported waits.
    """

    def __init__(
        self,
        workers: dict[fleet.WorkerKey, fleet.Worker],
        attempts: attempts_module.Attempts,
        pacer: pacing.Pacer,
        metrics: metrics_module.Metrics,
    ):
        self._workers = workers
        self._attempts = attempts
        self._pacer = pacer
        self._metrics = metrics
        self._next_check_s = 0.0
        # Reported reasons, by the id of the task and the monotonic time since
        # which it waits.
        self._reported: dict[tuple[str, float], Reason] = {}
        self._schedulable: dict[str, list[fleet.Worker]] | None = None

    def check(
        self,
        items: Iterable[pipeline.Pipeline],
        may_start: Callable[[pipeline.Task], bool],
        table: queues.QueueTable,
        unreported_agents: tuple[str, ...],
        now: float,
    ) -> None:
        """Reports the waits that have become long since the last check.

        Args:
            items: Pipelines that have not ended.
            may_start: Returns whether no earlier leader can have started a
                task.
            table: Current configuration of the queues.
            unreported_agents: Agents that may run work of earlier leaders.
            now: Monotonic seconds.
        """
        if now < self._next_check_s:
            return
        self._next_check_s = now + CHECK_INTERVAL_S
        self._schedulable = None
        waiting = [
            task
            for item in items
            if item.ready and (item.declaration.lasting or item.idle)
            for task in item.ready.values()
            if now - task.ready_since_s >= REPORT_AFTER_S
            and not self._attempts.has_attempts(task)
        ]
        waiting.sort(key=lambda task: not task.stage.lasting)
        unanswered = [
            placement
            for worker in self._workers.values()
            for placement in worker.placements.values()
            if placement.state is fleet.AttemptState.ORDERED
            and now - placement.ordered_s >= REPORT_AFTER_S
        ]
        waits = [(task, task.ready_since_s) for task in waiting]
        waits += [(p.task, p.ordered_s) for p in unanswered]
        still_waiting = {(task.id, since_s) for task, since_s in waits}
        self._reported = {
            key: reason
            for key, reason in self._reported.items()
            if key in still_waiting
        }
        for placement in unanswered[:MAX_REPORTED]:
            self._report(
                placement.task, placement.ordered_s, Reason.UNANSWERED, now
            )
        left = MAX_REPORTED
        for task in waiting:
            if not left:
                return
            reported = self._reported.get((task.id, task.ready_since_s))
            if reported not in (None, Reason.EARLIER_LEADER):
                continue
            queue = table.by_name(task.pipeline.declaration.queue)
            if queue is None:
                reason = Reason.NO_QUEUE
            elif not may_start(task):
                reason = Reason.EARLIER_LEADER
            elif task.stage.lasting or task.avoided_workers:
                reason = self._reason_for(task, queue, now)
            else:
                # It waits for room, as is usual on a full fleet.
                continue
            if reason is reported:
                continue
            left -= 1
            self._report(
                task, task.ready_since_s, reason, now, unreported_agents
            )

    def _reason_for(
        self, task: pipeline.Task, queue: queues.Queue, now: float
    ) -> Reason:
        if self._schedulable is None:
            self._schedulable = {}
            for worker in self._workers.values():
                if worker.is_schedulable(now):
                    self._schedulable.setdefault(
                        worker.state.service, []
                    ).append(worker)
        workers = self._schedulable.get(queue.service, [])
        reason = reason_for(task, workers, self._pacer, now)
        if reason is Reason.DELAY and queue.advice is not None:
            return Reason.TICKET
        if reason is Reason.NO_WORKER and any(
            worker.evacuated and worker.state.service == queue.service
            for worker in self._workers.values()
        ):
            return Reason.EVACUATED
        return reason

    def _most_free_millicores(self) -> int:
        """Returns the most millicores that are free on one worker."""
        free = [worker.free.millicores for worker in self._workers.values()]
        return max(free, default=0)

    def _report(
        self,
        task: pipeline.Task,
        since_s: float,
        reason: Reason,
        now: float,
        unreported_agents: tuple[str, ...] = (),
    ) -> None:
        if self._reported.get((task.id, since_s)) is reason:
            return
        self._reported[task.id, since_s] = reason
        self._metrics.count("long_waits", reason=reason.value)
        log.emit(
            events.Events.TASK_WAITS,
            task=task.id,
            reason=reason.value,
            waited_ms=int((now - since_s) * 1000),
            lasting=task.stage.lasting,
            millicores=task.stage.demand.millicores,
            most_free=self._most_free_millicores(),
            avoids=len(task.avoided_workers),
            unreported=list(unreported_agents),
        )
