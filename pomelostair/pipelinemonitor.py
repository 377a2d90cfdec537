"""Monitors the workers: paces, stalled attempts, drains and suspects."""

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipelinemessages as messages
from pomelostair import workerspeed

# An attempt without progress for this long counts as stalled.
STALL_S = 1.5
# A stall must also last this share of the estimated duration, since the
# progress of long tasks is reported in whole percents.
STALL_SHARE = 0.25
# Factor on the stall limit of filler tasks on a worker that is overcommitted,
# where they compete for the processor time that is left over.
CONTENDED_STALL_FACTOR = 3
# Time within which a lasting task must be at work after its start.
MAX_LASTING_START_S = 4.0
# A worker with stalled or failing attempts gets no new ones for this long.
SUSPECT_S = 4.0
# Largest share of the workers that may be suspect at the same time. Beyond it,
# the tasks are more likely at fault than the workers.
MAX_SUSPECT_SHARE = 0.34
# A worker without a new report is checked again after this time.
CHECK_INTERVAL_S = 0.25
# A task stays on a draining worker only if it is expected to end this long
# before the worker leaves.
DRAIN_MARGIN_MS = 900


class WorkerMonitor:
    """Monitors the workers during one term of a leader.

    Args:
        workers: All workers by id and incarnation; the scheduler changes them.
        attempts: Attempts that may be running.
        pacer: Pacer that decides the paces.
        metrics: Registry that counts the decisions.
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

    def check(self, worker: fleet.Worker, now: float) -> list[fleet.Placement]:
        """Paces the attempts on a worker and stops those that must end.

        Nothing is done when the worker was checked recently and has not
        reported since.

        Returns:
            Attempts that were slowed for so long that they should move.
        """
        # Each report of any worker starts a round, which checks all workers.
        if (
            worker.last_check_s >= worker.last_report_s
            and now - worker.last_check_s < CHECK_INTERVAL_S
        ):
            return []
        worker.last_check_s = now
        if worker.state.draining:
            self._drain(worker, now)
        if (
            now - worker.last_report_s > fleet.REPORT_FRESH_S
            or not worker.state.reachable
        ):
            return []
        for placement, percent in self._pacer.pace_changes(worker, now):
            placement.pace_percent = percent
            placement.shows_run_time = False
            if percent >= pacing.FULL_PERCENT:
                placement.slowed_since_s = 0.0
                placement.last_progress_s = now
            elif not placement.slowed_since_s:
                placement.slowed_since_s = now
            worker.enqueue_order(messages.PACE, placement, percent=percent)
            log.emit(
                events.Events.ATTEMPT_PACED,
                task=placement.task.id,
                attempt=placement.attempt,
                worker=worker.id,
                percent=percent,
            )
        to_move = []
        for placement in list(worker.placements.values()):
            if self._pacer.should_move(placement, now):
                to_move.append(placement)
            if _is_stalled(placement):
                self._metrics.count("attempts_stalled")
                placement.task.failed_on[worker.id] = now
                self.suspect(worker, now, "its attempts make no progress")
                self._attempts.stop(placement, "it makes no progress")
        return to_move

    def _drain(self, worker: fleet.Worker, now: float) -> None:
        """Stops the attempts that would not end before a worker leaves."""
        for placement in list(worker.placements.values()):
            stage = placement.task.stage
            left_s = stage.estimate_ms / 1000
            left_s *= 1 - placement.progress_percent / 100
            remaining_ms = workerspeed.run_s(worker, left_s, now) * 1000
            ends_in_time = (
                not stage.lasting
                and remaining_ms + DRAIN_MARGIN_MS < worker.state.remaining_ms
            )
            if not ends_in_time and placement.reported:
                self._attempts.stop(placement, "its worker is draining")

    def suspect(self, worker: fleet.Worker, now: float, reason: str) -> None:
        """Withholds new attempts from a worker for `SUSPECT_S`.

        Does nothing when too many workers are suspect already.
        """
        suspects = sum(w.suspect_until_s > now for w in self._workers.values())
        if suspects >= len(self._workers) * MAX_SUSPECT_SHARE:
            return
        if worker.suspect_until_s <= now:
            log.emit(
                events.Events.PIPELINE_WORKER_SUSPECT,
                worker=worker.id,
                reason=reason,
                for_s=SUSPECT_S,
            )
        worker.suspect_until_s = now + SUSPECT_S


def _is_stalled(placement: fleet.Placement) -> bool:
    """Returns whether reports show that an attempt makes no progress.

    A time without reports shows nothing, as the attempt may have progressed
    while the agent, the leader or the link between them was slow. Nor does a
    list that leaves ends out, as the attempt may have ended.
    """
    if (
        placement.state is not fleet.AttemptState.RUNNING
        or placement.worker.state.more_ended
        or not placement.reported
        or placement.pace_percent < pacing.FULL_PERCENT
        or placement.progress_percent >= 100
    ):
        return False
    stage = placement.task.stage
    stalled_s = placement.worker.last_listed_s - placement.last_progress_s
    if stage.lasting:
        return stalled_s > MAX_LASTING_START_S
    limit_s = max(STALL_S, STALL_SHARE * stage.estimate_ms / 1000)
    if stage.filler and placement.worker.unused_millicores < 0:
        limit_s *= CONTENDED_STALL_FACTOR
    return stalled_s > limit_s
