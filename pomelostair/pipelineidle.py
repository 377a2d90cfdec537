"""Finds pipelines that wait for too long with none of their tasks running.

By the platform's rules, no accepted pipeline may be idle for 3 s while there is
room and counted work uses under half of the capacity of its service. A filler
that finds no unused processor time, or only a low pace, starts all the same
then. The search for a worker is spread over rounds, so that a round stays short
on a large fleet.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from pomelostair import attempts as attempts_module
from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelineorder
from pomelostair import pipelineplacement as placement_module
from pomelostair import queues

# Share of the capacity from which on only pipelines that miss their objectives
# start such fillers, and only after MAX_BUSY_IDLE_S: each of them slows fillers
# that could still be in time.
BUSY_SHARE = 0.5
MAX_BUSY_IDLE_S = 15.0
# Time by which the search for a worker begins earlier where each needs a ticket
# first.
TICKET_LEAD_S = 1.0
# Workers that are compared with a task before the next pipeline has its turn.
WINDOW_WORKERS = 250
# Delay before a pipeline for which no worker was found has its turn again.
RETRY_DELAY_S = 0.25


@attrs.define
class Search:
    """Search for a worker for a task of an idle pipeline.

    Attributes:
        pipeline_id: Id of the pipeline.
        queue: Its queue.
        tasks: Tasks that are searched for, one after the other.
        workers: Workers that accept new attempts.
        next_worker: Index of the worker at which the search goes on.
        compared: Workers that were compared with the first of the tasks.
        skipped: Tasks that are left out, as they were compared with all.
        not_before_s: Monotonic time before which it does not go on.
    """

    pipeline_id: str
    queue: queues.Queue
    tasks: list[pipeline.Task] = attrs.field(factory=list)
    workers: list[fleet.Worker] = attrs.field(factory=list)
    next_worker: int = 0
    compared: int = 0
    skipped: int = 0
    not_before_s: float = 0.0

    def begin_round(
        self, tasks: list[pipeline.Task], workers: list[fleet.Worker]
    ) -> None:
        """Goes on in a new round.

        Args:
            tasks: A ready task of each stage of the pipeline.
            workers: Workers that accept new attempts.
        """
        self.skipped %= len(tasks)
        self.tasks = tasks[self.skipped :]
        self.workers = workers
        self.compared = min(self.compared, len(workers) - 1)

    def next_workers(self) -> list[fleet.Worker]:
        """Returns the workers that the first task is compared with now.

        A ticket may be for any worker, and the members of a gang may need many,
        so these are compared with all.
        """
        count = len(self.workers)
        size = count - self.compared
        if self.queue.advice is None and not self.tasks[0].stage.gang:
            size = min(size, WINDOW_WORKERS)
        start = self.next_worker % count
        self.compared += size
        self.next_worker = start + size
        if size == count:
            return self.workers
        chosen = self.workers[start : start + size]
        return chosen + self.workers[: size - len(chosen)]

    def advance(self, now: float) -> bool:
        """Records that the workers returned last have no room.

        Args:
            now: Monotonic seconds.

        Returns:
            Whether anything is left to compare in this round.
        """
        self.not_before_s = now
        if self.compared >= len(self.workers):
            del self.tasks[0]
            self.compared = 0
            self.skipped += 1
        if not self.tasks:
            self.skipped = 0
            self.not_before_s += RETRY_DELAY_S
        return bool(self.tasks)


class IdlePipelines:
    """Searches for workers for idle pipelines, during one term of a leader.

    Args:
        attempts: Attempts that may be running.
    """

    def __init__(self, attempts: attempts_module.Attempts):
        self._attempts = attempts
        # Searches that found no worker, by id of the pipeline.
        self._searches: dict[str, Search] = {}
        # Index of the worker at which the next new search begins.
        self._next_worker = 0

    def forget(self, pipeline_id: str) -> None:
        """Drops the state of a pipeline."""
        self._searches.pop(pipeline_id, None)

    def end_round(self, searches: Iterable[Search]) -> None:
        """Keeps the searches that found no worker in this round."""
        for search in searches:
            search.tasks = []
            search.workers = []
            self._searches[search.pipeline_id] = search

    def searches(
        self,
        ranked: Iterable[
            tuple[pipelineorder.Rank, pipeline.Pipeline, queues.Queue]
        ],
        schedulable: dict[str, list[fleet.Worker]],
        now: float,
        may_start: Callable[[pipeline.Task], bool],
    ) -> list[Search]:
        """Returns a search for each pipeline that was idle for too long.

        Those that had their turn longest ago go first, so that pipelines that
        fit nowhere hide no other.

        Args:
            ranked: Pipelines with ready tasks, in the order of their ranks.
            schedulable: Workers that accept new attempts, by service.
            now: Monotonic seconds.
            may_start: Returns whether no earlier leader can have started a
                task.
        """
        busy = {
            service: is_busy(workers)
            for service, workers in schedulable.items()
        }
        found = []
        for rank, item, queue in ranked:
            if not (item.ready and item.declaration.has_filler):
                continue
            if self._attempts.any_live(item, now):
                continue
            search = self._searches.get(item.id)
            if search is not None and now < search.not_before_s:
                continue
            max_idle_s = placement_module.MAX_IDLE_S
            if busy[queue.service]:
                if (
                    rank.outlook < pipelineorder.Outlook.LATE
                    or queue.advice is not None
                ):
                    continue
                max_idle_s = MAX_BUSY_IDLE_S
            elif queue.advice is not None:
                max_idle_s -= TICKET_LEAD_S
            tasks = [
                task
                for task in self._waiting_tasks(item, max_idle_s, now)
                if may_start(task)
                and not (task.stage.gang and busy[queue.service])
            ]
            if not tasks:
                continue
            if search is None:
                search = Search(item.id, queue, next_worker=self._next_worker)
                self._next_worker += WINDOW_WORKERS
            search.queue = queue
            search.begin_round(tasks, schedulable[queue.service])
            found.append(search)
        found.sort(key=lambda search: search.not_before_s)
        return found

    def _waiting_tasks(
        self, item: pipeline.Pipeline, max_idle_s: float, now: float
    ) -> list[pipeline.Task]:
        """Returns a filler of each stage that has waited for too long.

        Tasks that may start on some of the workers only hide no other of their
        stage.
        """
        found: dict[tuple[bool, int, int], pipeline.Task] = {}
        for task in item.ready.values():
            if (
                not task.stage.filler
                or task.not_before_s > now
                or now - task.ready_since_s < max_idle_s
                or self._attempts.has_attempts(task)
            ):
                continue
            restricted = bool(task.avoided_workers or task.suspect)
            found.setdefault(
                (restricted, task.occurrence, task.stage_number), task
            )
        return [found[key] for key in sorted(found)]


def is_busy(workers: list[fleet.Worker]) -> bool:
    """Returns whether counted work uses at least `BUSY_SHARE` of workers."""
    used = sum(worker.used.millicores for worker in workers)
    capacity = sum(worker.state.capacity.millicores for worker in workers)
    return used >= BUSY_SHARE * capacity
