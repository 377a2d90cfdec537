"""Watches what runs on the workers: paces, stalls, leaving and suspicion."""

from pomelostair import attempts as attempts_module
from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipelinemessages as messages

# Time without progress after which an attempt counts as stalled.
STALL_S = 1.5
# Share of the estimated duration that a stall must also last, as the progress
# of long tasks is told in whole percents.
STALL_SHARE = 0.25
# Factor on that time where filling work competes for what is left over.
CONTENDED_STALL_FACTOR = 3
# Time in which a lasting task must be at work after its start.
LASTING_START_S = 4.0
# How long a worker with stalled or failing attempts gets no new ones.
SUSPECT_S = 4.0
# Share of the workers that may be suspected at once; beyond it the work is
# more likely at fault.
MAX_SUSPECT_SHARE = 0.34
# Time in seconds after which a worker without news is looked at again.
CHECK_INTERVAL_S = 0.25
# Time before a draining worker leaves at which its tasks are moved away.
DRAIN_MARGIN_MS = 900


class WorkerMonitor:
    """Watches the workers of one term of a leader.

    Args:
        workers: All workers by id and life; changed by the scheduler.
        attempts: The attempts that may be running.
        pacer: Decides the paces.
        metrics: Where decisions are counted.
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
        """Paces and stops what runs on a worker, if there is news of it.

        Returns:
            Attempts that were slowed for so long that they should move.
        """
        # A round takes place with every report of any worker.
        if (
            worker.last_check_s >= worker.last_report_s
            and now - worker.last_check_s < CHECK_INTERVAL_S
        ):
            return []
        worker.last_check_s = now
        if worker.state.draining:
            self._empty(worker)
        if (
            now - worker.last_report_s > fleet.REPORT_FRESH_S
            or not worker.state.reachable
        ):
            return []
        for placement, percent in self._pacer.pace_changes(worker, now):
            placement.pace_percent = percent
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
        moving = []
        for placement in list(worker.placements.values()):
            if self._pacer.should_move(placement, now):
                moving.append(placement)
            if self._is_stalled(placement, now):
                self._metrics.count("attempts_stalled")
                placement.task.avoided_workers.add(worker.id)
                self.suspect(worker, now, "attempts stand still")
                self._attempts.stop(placement, "it stands still")
        return moving

    def _is_stalled(self, placement: fleet.Placement, now: float) -> bool:
        if (
            placement.state is not fleet.AttemptState.RUNNING
            or not placement.reported
            or placement.pace_percent < pacing.FULL_PERCENT
            or placement.progress_percent >= 100
        ):
            return False
        stage = placement.task.stage
        if stage.lasting:
            return now - placement.last_progress_s > LASTING_START_S
        limit_s = max(STALL_S, STALL_SHARE * stage.estimate_ms / 1000)
        if stage.filler and placement.worker.unused_millicores < 0:
            limit_s *= CONTENDED_STALL_FACTOR
        return now - placement.last_progress_s > limit_s

    def _empty(self, worker: fleet.Worker) -> None:
        """Moves the tasks away that would end with a leaving worker."""
        for placement in list(worker.placements.values()):
            stage = placement.task.stage
            left_ms = stage.estimate_ms * (1 - placement.progress_percent / 100)
            ends_in_time = (
                not stage.lasting
                and left_ms + DRAIN_MARGIN_MS < worker.state.remaining_ms
            )
            if not ends_in_time and placement.reported:
                self._attempts.stop(placement, "its worker leaves")

    def suspect(self, worker: fleet.Worker, now: float, why: str) -> None:
        """Gives a worker no new attempts for a while."""
        suspects = sum(w.suspect_until_s > now for w in self._workers.values())
        if suspects >= len(self._workers) * MAX_SUSPECT_SHARE:
            return
        if worker.suspect_until_s <= now:
            log.emit(
                events.Events.PIPELINE_WORKER_SUSPECT,
                worker=worker.id,
                reason=why,
                for_s=SUSPECT_S,
            )
        worker.suspect_until_s = now + SUSPECT_S
