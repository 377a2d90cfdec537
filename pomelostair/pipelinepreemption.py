"""What a task may preempt on a worker, to get room there soon.

Only what does not last, and is less urgent by the priority of its queue. A
preempted attempt is stopped, and its task starts again where there is room;
members of gangs are spared, as the others would have to stop with them.
"""

import attrs

from pomelostair import eviction
from pomelostair import fleet
from pomelostair import messages
from pomelostair import pipeline
from pomelostair import queues
from pomelostair import resources


@attrs.frozen
class Preemption:
    """Right of the tasks of a queue to preempt others.

    Attributes:
        priority: Priority of the queue.
        table: Current configuration of the queues.
    """

    priority: int
    table: queues.QueueTable

    def permits(self, placement: fleet.Placement) -> bool:
        """Returns whether an attempt may be preempted."""
        stage = placement.task.stage
        queue = self.table.by_name(placement.task.pipeline.declaration.queue)
        return (
            placement.state is fleet.AttemptState.RUNNING
            and not stage.lasting
            and not stage.gang
            and queue is not None
            and queue.priority > self.priority
        )

    def choose_victims(
        self, task: pipeline.Task, worker: fleet.Worker, now: float
    ) -> list[fleet.Placement]:
        """Returns the attempts to stop so that a task fits on a worker.

        The least urgent go first, among them those that lose the least work. If
        they do not suffice, none is chosen.

        Args:
            task: A task that waits for room on the worker.
            worker: The worker.
            now: Monotonic seconds.
        """
        free = worker.free_for(task, now)
        candidates = []
        by_key = {}
        for placement in worker.placements.values():
            if placement.state is fleet.AttemptState.STOPPING:
                free = free.plus(placement.task.stage.counted_demand)
            elif self.permits(placement):
                candidates.append(self._candidate(placement))
                by_key[placement.key] = placement
        chosen = eviction.choose_victims(
            _size(task.stage.demand), _size(free), candidates
        )
        return [by_key[c.task, c.attempt] for c in chosen or ()]

    def _candidate(self, placement: fleet.Placement) -> eviction.Candidate:
        task = placement.task
        lost_share = placement.progress_percent / 100
        if task.stage.checkpointing:
            lost_share = 0.0
        queue = self.table.by_name(task.pipeline.declaration.queue)
        return eviction.Candidate(
            task.id,
            placement.attempt,
            queue.priority,
            False,
            lost_share,
            _size(task.stage.counted_demand),
        )


def _size(amount: resources.Resources) -> messages.Size:
    return messages.Size(
        amount.millicores / 1000, amount.memory_mb, amount.accelerators
    )
