"""Room that is kept for lasting tasks, until they start in it.

Smaller tasks would otherwise take each core as it becomes free, so that the
room for a large task never comes together.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from pomelostair import fleet
from pomelostair import metrics as metrics_module
from pomelostair import pipeline

# Most tasks for which room is kept at a time. Each is compared with all workers
# in each round.
MAX_ROOMS = 20
# Longest time for which room is kept unless the service is busy. By the
# platform's rules, other work may not stand still for 3 s while there is room
# for it and counted work uses under half of the capacity.
KEEP_S = 2.5
# Time after that in which others have their turn.
PAUSE_S = 1.0


@attrs.frozen
class _Room:
    """Room for a task.

    Attributes:
        task: The task.
        worker: Where it is kept.
        until_s: Monotonic time until which it is kept.
    """

    task: pipeline.Task
    worker: fleet.Worker
    until_s: float

    def is_of_use(self, now: float) -> bool:
        """Returns whether the task may still start there.

        Args:
            now: Monotonic seconds.
        """
        return (
            self.worker.is_schedulable(now)
            and not self.worker.is_silent(now)
            and self.worker.state.capacity.covers(self.task.stage.demand)
        )


class KeptRooms:
    """Rooms that are kept during one term of a leader.

    Args:
        metrics: Registry that counts them.
    """

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics
        self._rooms: dict[str, _Room] = {}

    def keep(
        self,
        tasks: Iterable[pipeline.Task],
        choose: Callable[[pipeline.Task], fleet.Worker | None],
        without_pause: bool,
        now: float,
    ) -> None:
        """Keeps room for all of several tasks, or for none of them.

        Args:
            tasks: Tasks without room.
            choose: Returns the worker that can have room for a task soonest.
            without_pause: Whether others may wait until the tasks have started.
            now: Monotonic seconds.
        """
        tasks = list(tasks)
        if not all(
            self._keep(task, choose, without_pause, now) for task in tasks
        ):
            for task in tasks:
                self.release(task)

    def worker_for(
        self, task: pipeline.Task, now: float
    ) -> fleet.Worker | None:
        """Returns the worker on which room is kept for a task now, if any."""
        room = self._rooms.get(task.id)
        return room.worker if room is not None and now < room.until_s else None

    def release(self, task: pipeline.Task) -> None:
        """Keeps no room for a task any more."""
        room = self._rooms.pop(task.id, None)
        if room is not None:
            room.worker.cancel_reservation(task)

    def expire(self, now: float) -> None:
        """Forgets the rooms that are of no use, or were kept for long.

        Args:
            now: Monotonic seconds.
        """
        for room in list(self._rooms.values()):
            reservation = room.worker.reservations.get(room.task.id)
            is_paused = now >= room.until_s
            if is_paused and now < room.until_s + PAUSE_S:
                continue
            if (
                is_paused
                or reservation is None
                or reservation.until_s <= now
                or not room.is_of_use(now)
            ):
                self.release(room.task)

    def _keep(
        self,
        task: pipeline.Task,
        choose: Callable[[pipeline.Task], fleet.Worker | None],
        without_pause: bool,
        now: float,
    ) -> bool:
        room = self._rooms.get(task.id)
        if room is None:
            if len(self._rooms) >= MAX_ROOMS:
                return False
            worker = choose(task)
            if worker is None:
                return False
            room = self._rooms[task.id] = _Room(task, worker, now + KEEP_S)
            self._metrics.count("rooms_kept")
            # Its next report is answered, and thus made more frequent.
            worker.instructed_s = 0.0
        elif without_pause and now < room.until_s:
            # Room that was given up and had to be gathered anew might never
            # come together.
            room = attrs.evolve(room, until_s=now + KEEP_S)
            self._rooms[task.id] = room
        if now < room.until_s:
            until_s = min(now + fleet.RESERVATION_S, room.until_s)
            room.worker.reserve(task, until_s)
        return True
