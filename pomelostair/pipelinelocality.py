"""Decides how long a task waits for a place near its data.

A task that names the rack of its data takes `remote_factor` times as long on
any other rack, and so does a gang that prefers a common rack on several ones.
If there is room only at such a far place, the task starts there now or waits,
whichever is expected to end earlier. The decision is made anew in each round,
so that a wait ends with its reason: nothing is reserved and nothing is stored.

Room at a near place is expected from the ends of what runs there. Tasks that
come earlier in the order of the pipelines and wait for the same rack take the
first of it.
"""

from collections.abc import Iterable
import math
import statistics

import attrs

from pomelostair import events
from pomelostair import fleet
from pomelostair import log
from pomelostair import metrics as metrics_module
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineplacement as placement_module
from pomelostair import resources
from pomelostair import runtimes
from pomelostair import workerspeed

# Factor on the expected time until there is room, since it rests on estimates
# and other work may take the room, while a far place is certain.
CAUTION = 1.5
# Share of the capacity of a service from which on unused processor time counts
# as plentiful. Below it, a far place may be worth more to other work that
# waits, and only the expected ends are compared.
SPARE_SHARE = 0.25
# Share of its work that a task with a checkpoint is assumed to have left.
CHECKPOINT_WORK_SHARE = 0.5
# Most tasks for which room on one worker is expected.
MAX_ROOMS_PER_WORKER = 64
# Least expected time until an attempt ends, as its end has to be reported. Thus
# the room of an attempt at 100 % differs from room that exists already.
MIN_LEFT_S = 0.05
# Most workers that one round searches for room that will become free. Further
# tasks start as if nothing were expected.
MAX_SEARCHED_WORKERS = 1_200
# Time for which a decision to wait is kept. There is a round with each report,
# and the facts that decide change more slowly.
KEEP_DECISION_S = 0.25
# Most tasks for which one round decides whether they wait. Further ones have
# many ahead of them, and start far.
MAX_DECISIONS = 1_200


@attrs.frozen
class Choice:
    """What the decision between a far place now and a near one later rests on.

    Attributes:
        near_s: Expected time that the work takes at a near place.
        far_s: The same at the far place.
        bound_s: Longest wait, in total.
        room_s: Expected time until there is room at a near place; infinity if
            none is expected.
        waited_s: Time for which the task has waited for a near place.
        ready_for_s: Time since the task became ready.
        idle: Whether nothing of its pipeline is running.
        slack_s: Time that the pipeline can still wait without missing its
            objective.
        far_is_spare: Whether the far room would otherwise be unused.
    """

    near_s: float
    far_s: float
    bound_s: float
    room_s: float
    waited_s: float
    ready_for_s: float
    idle: bool
    slack_s: float
    far_is_spare: bool


def wait_s(choice: Choice) -> float:
    """Returns how long a task waits for a near place, 0 to start now.

    The task waits if it is expected to end earlier at a near place, and no
    longer than the loss at the far one in total. A task of an idle pipeline
    waits for `MAX_IDLE_S` at most. If the far place meets the objective and the
    near one may miss it, the far place is taken.

    Args:
        choice: What the decision rests on.
    """
    loss_s = choice.far_s - choice.near_s
    limit_s = min(loss_s, choice.bound_s) - choice.waited_s
    if choice.idle:
        limit_s = min(limit_s, placement_module.MAX_IDLE_S - choice.ready_for_s)
    cautious_s = choice.room_s * CAUTION
    needed_s = cautious_s if choice.far_is_spare else choice.room_s
    if limit_s <= 0 or needed_s >= limit_s:
        return 0.0
    if loss_s <= choice.slack_s < cautious_s:
        return 0.0
    return limit_s


def expected_left_s(
    placement: fleet.Placement,
    remote_factor: float,
    now: float,
    run_times: runtimes.RunTimes = runtimes.UNKNOWN,
) -> float:
    """Returns the expected time until an attempt ends, maybe infinity.

    An attempt that has run for longer than estimated is expected to run on for
    as long as it is overdue, whatever progress it reports. One without an
    estimate, or that is stopping, is expected to last as long again.

    Args:
        placement: The attempt.
        remote_factor: Factor on the run time far from the data.
        now: Monotonic seconds.
        run_times: What is known of the run times of the queues.
    """
    stage = placement.task.stage
    if placement.state is fleet.AttemptState.STOPPING:
        since_s = placement.stopping_since_s or now
        return max(placement_module.STOP_S, now - since_s)
    if stage.lasting or placement.pace_percent <= 0:
        return math.inf
    if not stage.estimate_ms:
        return max(
            placement_module.UNKNOWN_DURATION_S, now - placement.ordered_s
        )
    total_s = run_times.work_s(placement.task)
    if placement.worker.is_far(stage):
        total_s *= remote_factor
    total_s *= pacing.FULL_PERCENT / placement.pace_percent
    left_share = 1 - min(max(placement.progress_percent, 0.0), 100.0) / 100
    left_s = workerspeed.run_s(placement.worker, total_s * left_share, now)
    total_s = workerspeed.run_s(placement.worker, total_s, now)
    overdue_s = now - placement.ordered_s - total_s
    return max(left_s, overdue_s, 0.0)


@attrs.frozen
class _End:
    """Expected end of an attempt.

    Attributes:
        left_s: Expected time until then.
        counted: Resources that it then frees for regular tasks.
        unused_millicores: Unused millicores that it then leaves to fillers.
    """

    left_s: float
    counted: resources.Resources
    unused_millicores: int


class Locality:
    """Places near the data and on common racks, in one round of a service.

    Args:
        remote_factor: Factor on the run time far from the data.
        workers: Workers of the service that accept new attempts.
        now: Monotonic seconds.
        run_times: What is known of the run times of the queues.
    """

    def __init__(
        self,
        remote_factor: float,
        workers: list[fleet.Worker],
        now: float,
        run_times: runtimes.RunTimes = runtimes.UNKNOWN,
    ):
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._workers = workers
        self._now = now
        self._ends: dict[fleet.WorkerKey, list[_End]] = {}
        self._rooms: dict[tuple, list[float]] = {}
        self._uneven: dict[str, bool] = {}
        # Millicores and memory of the tasks ahead that wait, by the rack that
        # they wait for; the empty one for those that may run on any.
        self._claimed: dict[str, tuple[int, int]] = {}
        self._decisions_left = MAX_DECISIONS
        self._searches_left = MAX_SEARCHED_WORKERS
        self._by_rack: dict[str, list[fleet.Worker]] | None = None
        self._far_is_spare: bool | None = None

    @property
    def is_near_faster(self) -> bool:
        """Whether near places are faster than far ones."""
        return self._remote_factor > 1

    @property
    def racks(self) -> dict[str, list[fleet.Worker]]:
        """The workers by rack."""
        if self._by_rack is None:
            self._by_rack = fleet.by_rack(self._workers)
        return self._by_rack

    def prefers_near(self, stage: pipeline.Stage) -> bool:
        """Returns whether tasks of a stage run faster at a near place.

        A lasting task has no run time that could grow.
        """
        return (
            self.is_near_faster
            and not stage.lasting
            and bool(stage.rack or (stage.gang and stage.same_rack))
        )

    def near(self, stage: pipeline.Stage) -> list[fleet.Worker]:
        """Returns the workers in the rack of a stage's data."""
        return self.racks.get(stage.rack, [])

    def claim(self, task: pipeline.Task, count: int = 1) -> None:
        """Records that tasks wait, so that those after them expect room later.

        Args:
            task: A task for which there is no room, or that waits.
            count: Number of such tasks.
        """
        demand = task.stage.demand
        millicores, memory_mb = self._claimed.get(task.stage.rack, (0, 0))
        self._claimed[task.stage.rack] = (
            millicores + count * demand.millicores,
            memory_mb + count * demand.memory_mb,
        )

    def wait_s(
        self,
        task: pipeline.Task,
        far: fleet.Worker | None,
        slack_s: float,
        idle: bool,
    ) -> float:
        """Returns how long a task with room at a far place waits, 0 for none.

        A task that waits is counted as ahead of those that are asked about
        later in the round.

        Args:
            task: A task, or a member of a gang that starts at once.
            far: The far worker, None for those of a gang.
            slack_s: Time that its pipeline can still wait without missing its
                objective.
            idle: Whether nothing of its pipeline is running.
        """
        if not self._decisions_left:
            return 0.0
        self._decisions_left -= 1
        stage = task.stage
        work_s = self._run_times.work_s(task)
        if task.checkpoint:
            work_s *= CHECKPOINT_WORK_SHARE
        waited_s = 0.0
        if task.near_wait_since_s:
            waited_s = self._now - task.near_wait_since_s
        far_s = work_s * self._remote_factor
        choice = Choice(
            near_s=self._near_s(stage.rack, work_s),
            far_s=workerspeed.run_s(far, far_s, self._now) if far else far_s,
            bound_s=far_s - work_s,
            room_s=self._room_s(task, work_s),
            waited_s=waited_s,
            ready_for_s=self._now - task.ready_since_s,
            idle=idle,
            slack_s=slack_s,
            far_is_spare=self._is_far_spare(),
        )
        limit_s = wait_s(choice)
        if limit_s:
            self.claim(task, stage.count if stage.gang else 1)
        return limit_s

    def _near_s(self, rack: str, work_s: float) -> float:
        """Returns the time that work takes on a usual worker of a rack.

        Workers that are slower than a far place are not waited for.
        """
        workers = self.racks.get(rack, ())
        if all(worker.speed >= 1 for worker in workers):
            return work_s
        times = [
            workerspeed.run_s(worker, work_s, self._now) for worker in workers
        ]
        far_s = work_s * self._remote_factor
        return statistics.median([t for t in times if t < far_s] or times)

    def _is_uneven(self, rack: str) -> bool:
        """Returns whether a rack has slow workers.

        Then the run time of a task decides on which of them it may wait.
        """
        if rack not in self._uneven:
            self._uneven[rack] = any(
                worker.speed < 1 for worker in self.racks.get(rack, ())
            )
        return self._uneven[rack]

    def _is_far_spare(self) -> bool:
        """Returns whether the service has plenty of unused processor time."""
        if self._far_is_spare is None:
            unused = sum(max(0, w.unused_millicores) for w in self._workers)
            capacity = sum(w.state.capacity.millicores for w in self._workers)
            self._far_is_spare = unused >= SPARE_SHARE * capacity
        return self._far_is_spare

    def _room_s(self, task: pipeline.Task, work_s: float) -> float:
        """Returns the expected time until there is room at a near place."""
        stage = task.stage
        if stage.rack or not stage.same_rack:
            return self._rack_room_s(task, stage.rack, work_s)
        return min(
            (self._rack_room_s(task, rack, work_s) for rack in self.racks),
            default=math.inf,
        )

    def _rack_room_s(
        self, task: pipeline.Task, rack: str, work_s: float
    ) -> float:
        """Returns the expected time until a rack has room for a task.

        For a gang, until it has room for all members at once.
        """
        times = self._room_times(task, rack)
        needed = task.stage.count if task.stage.gang else 1
        if len(times) < needed:
            return math.inf
        if task.stage.gang and not times[needed - 1]:
            # There is room already, but the gang did not fit there just now.
            return math.inf
        index = needed - 1 + self._count_ahead(task.stage, rack)
        # Once each room was used, it is free again after the tasks ahead.
        turns, index = divmod(index, len(times))
        return times[index] + turns * work_s

    def _count_ahead(self, stage: pipeline.Stage, rack: str) -> int:
        """Returns how many tasks of a stage fit in what is claimed ahead."""
        millicores, memory_mb = self._claimed.get(rack, (0, 0))
        shared_millicores, shared_memory_mb = self._claimed.get("", (0, 0))
        rack_share = 1 / max(1, len(self.racks))
        demand = stage.demand
        return math.ceil(
            max(
                (millicores + rack_share * shared_millicores)
                / max(1, demand.millicores),
                (memory_mb + rack_share * shared_memory_mb)
                / max(1, demand.memory_mb),
            )
        )

    def _room_times(self, task: pipeline.Task, rack: str) -> list[float]:
        """Returns when a rack has room for one task after the other.

        Equal stages share the result. What starts there in the same round is
        not looked at: it comes from tasks ahead.
        """
        stage = task.stage
        key = (
            rack,
            stage.demand,
            stage.filler,
            stage.label,
            stage.gang,
            task.pipeline.id if stage.most_per_worker else "",
            stage.estimate_ms if self._is_uneven(rack) else 0,
        )
        times = self._rooms.get(key)
        if times is None:
            if self._searches_left <= 0:
                return []
            self._searches_left -= len(self.racks.get(rack, ()))
            times = []
            for worker in self.racks.get(rack, ()):
                times += self._worker_room_times(task, worker)
            times.sort()
            self._rooms[key] = times
        return times

    def _worker_room_times(
        self, task: pipeline.Task, worker: fleet.Worker
    ) -> Iterable[float]:
        """Returns when a worker has room for one task after the other."""
        if not self._is_awaitable(task, worker):
            return ()
        stage = task.stage
        demand = stage.demand
        most = MAX_ROOMS_PER_WORKER
        if stage.most_per_worker:
            most = stage.most_per_worker - placement_module.sibling_count(
                task, worker, self._now
            )
        free = worker.free_for(task, self._now)
        millicores = free.millicores
        if stage.filler:
            millicores = worker.unused_millicores_for(task, self._now)
        memory_mb, accelerators = free.memory_mb, free.accelerators
        now_free = _End(0.0, resources.Resources(), 0)
        times: list[float] = []
        for end in (now_free, *self._ends_of(worker)):
            if stage.filler:
                millicores += end.unused_millicores
            else:
                millicores += end.counted.millicores
            memory_mb += end.counted.memory_mb
            accelerators += end.counted.accelerators
            while (
                len(times) < most
                and millicores >= demand.millicores
                and memory_mb >= demand.memory_mb
                and accelerators >= demand.accelerators
            ):
                if not end.left_s and not stage.gang:
                    # There is room already, but the task can't use it: its pace
                    # would be too low, or the worker has refused it. Nobody
                    # knows when that ends.
                    return ()
                times.append(end.left_s)
                millicores -= demand.millicores
                memory_mb -= demand.memory_mb
                accelerators -= demand.accelerators
        return times

    def _is_awaitable(self, task: pipeline.Task, worker: fleet.Worker) -> bool:
        """Returns whether a task may wait for a worker that could run it."""
        speed = workerspeed.speed_for(task.stage, worker, self._now)
        return (
            not worker.is_silent(self._now)
            and not worker.unproven
            and speed * self._remote_factor > 1
            and worker.state.capacity.covers(task.stage.demand)
            and placement_module.meets_constraints(task, worker, self._now)
        )

    def _ends_of(self, worker: fleet.Worker) -> list[_End]:
        """Returns the expected ends of attempts on a worker, earliest first."""
        ends = self._ends.get(worker.key)
        if ends is None:
            ends = []
            for placement in worker.placements.values():
                if placement.state is fleet.AttemptState.STOPPING:
                    placement.stopping_since_s = (
                        placement.stopping_since_s or self._now
                    )
                left_s = expected_left_s(
                    placement, self._remote_factor, self._now, self._run_times
                )
                stage = placement.task.stage
                if left_s < math.inf:
                    ends.append(
                        _End(
                            max(left_s, MIN_LEFT_S),
                            stage.counted_demand,
                            stage.demand.millicores,
                        )
                    )
            ends.sort(key=lambda end: end.left_s)
            self._ends[worker.key] = ends
        return ends


def keeps_waiting(task: pipeline.Task, now: float) -> bool:
    """Returns whether a task waits without a new decision."""
    return now < task.near_wait_kept_until_s


def end_wait(task: pipeline.Task) -> None:
    """Ends the wait of a task that starts, or has no choice any more."""
    task.near_wait_since_s = task.near_wait_kept_until_s = 0.0


def record_start(
    started: list[fleet.Placement],
    metrics: metrics_module.Metrics,
    now: float,
) -> None:
    """Counts a start for which the rack matters.

    Args:
        started: The attempt that starts, or those of a gang.
        metrics: Registry that counts it.
        now: Monotonic seconds.
    """
    placement = started[0]
    task = placement.task
    since_s = task.near_wait_since_s
    end_wait(task)
    wanted = task.stage.rack
    common = task.stage.gang and task.stage.same_rack
    if not (wanted or common):
        return
    racks = {p.worker.state.rack for p in started}
    is_far = (wanted and racks != {wanted}) or (common and len(racks) > 1)
    place = "far" if is_far else "near"
    metrics.count("rack_starts", place=place)
    if not since_s:
        return
    metrics.record("near_wait_seconds", now - since_s, place=place)
    if place == "far":
        log.emit(
            events.Events.STARTED_FAR_AFTER_WAIT,
            task=task.id,
            attempt=placement.attempt,
            worker=placement.worker.id,
            rack=wanted,
            waited_ms=int((now - since_s) * 1000),
        )
