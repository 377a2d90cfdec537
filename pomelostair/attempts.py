"""Index of the attempts that may be running, by key and by task."""

from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages


class Attempts:
    """Attempts that may be running, during one term of a leader.

    Args:
        pacer: Pacer whose state of an ended attempt is dropped.
        metrics: Registry that counts the orders.
    """

    def __init__(self, pacer: pacing.Pacer, metrics: metrics_module.Metrics):
        self._pacer = pacer
        self._metrics = metrics
        self._by_key: dict[fleet.AttemptKey, fleet.Placement] = {}
        self._by_task: dict[str, list[fleet.Placement]] = {}
        self._by_pipeline: dict[str, dict[fleet.AttemptKey, fleet.Placement]]
        self._by_pipeline = {}
        self._unproven: dict[fleet.AttemptKey, fleet.Placement] = {}

    @property
    def unproven(self) -> dict[fleet.AttemptKey, fleet.Placement]:
        """Attempts of tasks with crashes or early losses, by key.

        They are included until they are seen running for a while.
        """
        return self._unproven

    def get(self, key: fleet.AttemptKey) -> fleet.Placement | None:
        """Returns the attempt with a key, or None if it cannot be running."""
        return self._by_key.get(key)

    def has_attempts(self, task: pipeline.Task) -> bool:
        """Returns whether any attempt of a task may be running."""
        return task.id in self._by_task

    def of_task(self, task: pipeline.Task) -> list[fleet.Placement]:
        """Returns the attempts of a task that may be running."""
        return list(self._by_task.get(task.id, ()))

    def any_live(self, item: pipeline.Pipeline, now: float) -> bool:
        """Returns whether any attempt of a pipeline is likely to be running.

        One on a silent worker, or whose start is not confirmed in time, counts
        as an attempt of its task, but may not be running.

        Args:
            item: The pipeline.
            now: Monotonic seconds.
        """
        placements = self._by_pipeline.get(item.id, {})
        return any(p.is_live(now) for p in placements.values())

    def attach(self, placement: fleet.Placement) -> None:
        """Adds an attempt to the index and to its worker."""
        self._by_key[placement.key] = placement
        self._by_task.setdefault(placement.task.id, []).append(placement)
        self._by_pipeline.setdefault(placement.task.pipeline.id, {})[
            placement.key
        ] = placement
        placement.worker.add(placement)
        placement.task.placed_on.add(placement.worker.key)
        if placement.task.crashes or placement.task.has_losses:
            self.mark_unproven(placement)

    def mark_unproven(self, placement: fleet.Placement) -> None:
        """Records that an attempt is not known to run without a crash."""
        self._unproven[placement.key] = placement
        if placement.task.suspect:
            placement.worker.unproven.add(placement.key)
        else:
            placement.worker.unproven.discard(placement.key)

    def mark_proven(self, placement: fleet.Placement) -> None:
        """Records that an attempt does not crash its worker."""
        if self._unproven.get(placement.key) is placement:
            del self._unproven[placement.key]
        placement.worker.unproven.discard(placement.key)

    def remove(self, placement: fleet.Placement, now: float) -> None:
        """Removes an attempt that has certainly ended; releases its task.

        An attempt that never ran does not interrupt the wait of its task, which
        thus gets a start in time however often a start is refused.
        """
        task = placement.task
        self.detach(placement)
        self.release(task, now if placement.reported else task.ready_since_s)

    def detach(self, placement: fleet.Placement) -> None:
        """Removes an attempt without changing the phase of its task."""
        placement.worker.remove(placement)
        self.mark_proven(placement)
        self._pacer.forget(placement)
        if self._by_key.get(placement.key) is placement:
            del self._by_key[placement.key]
        task = placement.task
        of_pipeline = self._by_pipeline.get(task.pipeline.id, {})
        if of_pipeline.get(placement.key) is placement:
            del of_pipeline[placement.key]
            if not of_pipeline:
                del self._by_pipeline[task.pipeline.id]
        remaining = [
            p for p in self._by_task.get(task.id, ()) if p is not placement
        ]
        task.placed_on = {p.worker.key for p in remaining}
        if remaining:
            self._by_task[task.id] = remaining
        else:
            self._by_task.pop(task.id, None)

    def release(self, task: pipeline.Task, since_s: float) -> None:
        """Makes a task ready again unless another attempt may be running.

        Args:
            task: The task.
            since_s: Monotonic time since which it waits.
        """
        if (
            task.id in self._by_task
            or task.pipeline.ended
            or task.phase is pipeline.TaskPhase.DONE
        ):
            return
        if task.stage.gang:
            self._release_gang(task, since_s)
        else:
            task.pipeline.release(task, since_s)

    def _release_gang(self, task: pipeline.Task, since_s: float) -> None:
        """Stops the other members of a gang; once none runs, makes all ready.

        The members resume from a common checkpoint.
        """
        members = task.pipeline.tasks(task.occurrence, task.stage_number)
        running = [p for m in members for p in self.of_task(m)]
        for placement in running:
            self.stop(placement, "another member of its gang ended")
        if running:
            return
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        for member in members:
            member.checkpoint = checkpoint
            task.pipeline.release(member, since_s)

    def stop(self, placement: fleet.Placement, reason: str) -> None:
        """Orders the stop of an attempt, unless it is already stopping."""
        if placement.state is fleet.AttemptState.STOPPING:
            return
        placement.state = fleet.AttemptState.STOPPING
        placement.stop_reason = reason
        placement.worker.enqueue_order(messages.STOP, placement)
        self._metrics.count("stops_ordered")
        log.emit(
            events.Events.STOP_ORDERED,
            task=placement.task.id,
            attempt=placement.attempt,
            worker=placement.worker.id,
            reason=reason,
        )
