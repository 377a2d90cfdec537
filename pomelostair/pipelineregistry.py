"""The pipelines that a leader holds, and what of them has to be stored."""

from collections.abc import Callable

import attrs

from pomelostair import fleet
from pomelostair import pipeline

# Most progress rows, agents and forgotten pipelines in a commit: the platform
# takes 100 entries in a transaction, and the lease row is one of them.
MAX_PROGRESS_ROWS = 60
MAX_AGENTS = 20
MAX_REMOVED = 10


@attrs.frozen
class Batch:
    """What one commit has to store.

    Attributes:
        progress: Progress by id of the pipeline.
        ends: Number of the last processed end, by worker's life.
        agents: Registrations of agents to store, by name.
        forgotten: Pipelines whose rows are to be removed.
    """

    progress: dict[str, pipeline.Progress]
    ends: dict[fleet.WorkerKey, int]
    agents: dict[str, fleet.Registration]
    removed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to store."""
        return not (self.progress or self.agents or self.removed)


class PipelineRegistry:
    """Pipelines of one term of a leader.

    Args:
        unix_ms: Reads the time of day.
        runs: Returns whether an attempt of a task may be running.
    """

    def __init__(
        self,
        unix_ms: Callable[[], float],
        runs: Callable[[pipeline.Task], bool],
    ):
        self._unix_ms = unix_ms
        self._runs = runs
        self._pipelines: dict[str, pipeline.Pipeline] = {}
        self._shown: dict[str, pipeline.Phase] = {}
        self._open: dict[str, pipeline.Pipeline] = {}
        self._timed: dict[str, pipeline.Pipeline] = {}
        self._dirty: dict[str, None] = {}
        self._agents: dict[str, fleet.Registration] = {}
        self._new_agents: dict[str, fleet.Registration] = {}
        self._forgetting: list[str] = []

    @property
    def open(self) -> dict[str, pipeline.Pipeline]:
        """Pipelines that have not ended, by id."""
        return self._open

    @property
    def agents(self) -> dict[str, fleet.Registration]:
        """The stored registrations of agents, by name."""
        return self._agents

    def find_task(self, task_id: str) -> pipeline.Task | None:
        """Returns the task with an id, None if it is unknown."""
        name, _, key = task_id.partition(".")
        item = self._pipelines.get(name)
        return None if item is None else item.task(key)

    def set_agents(self, agents: dict[str, fleet.Registration]) -> None:
        """Takes over the agents that are registered."""
        self._agents = dict(agents)

    def register_agent(
        self,
        agent: str,
        bus: str,
        heard: tuple[fleet.KnownIncarnation, ...],
        all_heard: bool,
    ) -> None:
        """Has the registration of an agent stored, if it changes.

        Args:
            agent: Name of the agent.
            bus: Its bus URL.
            heard: Lives that it knows.
            all_heard: Whether it knows of every life on its host.
        """
        latest = self._new_agents.get(agent) or self._agents.get(agent)
        known = latest or fleet.Registration(bus)
        made = known.with_reported(bus, heard, all_heard)
        if made != latest:
            self._new_agents[agent] = made

    def is_registered(self, agent: str, life: fleet.WorkerKey) -> bool:
        """Returns whether the store names a life as one that may have work."""
        known = self._agents.get(agent)
        return known is not None and any(
            known_life.key == life for known_life in known.lives
        )

    def mark_changed(self, item: pipeline.Pipeline) -> None:
        """Has the progress of a pipeline stored."""
        self._dirty[item.id] = None

    def close(self, item: pipeline.Pipeline) -> None:
        """Takes in that a pipeline has ended."""
        self.mark_changed(item)
        self._open.pop(item.id, None)
        self._timed.pop(item.id, None)

    def open_due(self, now: float) -> None:
        """Opens the occurrences that are due."""
        unix_ms = self._unix_ms()
        for item in list(self._timed.values()):
            item.open_due(unix_ms, now)
            if item.next_due_ms() is None:
                del self._timed[item.id]

    def forget(self, pipeline_id: str) -> None:
        """Forgets a pipeline whose declaration was removed."""
        self._pipelines.pop(pipeline_id, None)
        self._shown.pop(pipeline_id, None)
        self._forgetting.append(pipeline_id)

    def confirm(self, batch: Batch) -> None:
        """Notes that a batch is durable."""
        for name, progress in batch.progress.items():
            self._shown[name] = progress.phase
        self._agents.update(batch.agents)

    @property
    def pipelines(self) -> dict[str, pipeline.Pipeline]:
        """All pipelines by id."""
        return self._pipelines

    def add(
        self,
        declaration: pipeline.Declaration,
        version: int,
        progress: pipeline.Progress,
        now: float,
    ) -> None:
        """Takes in an accepted pipeline, unless it is known."""
        if declaration.id in self._pipelines:
            return
        item = pipeline.Pipeline(declaration, version, progress, now)
        self._pipelines[item.id] = item
        self._shown[item.id] = progress.phase
        if not item.ended:
            self._open[item.id] = item
            if declaration.timed:
                self._timed[item.id] = item

    def phase(self, pipeline_id: str) -> pipeline.Phase | None:
        """Returns the durable state of a pipeline, None for an unknown one."""
        shown = self._shown.get(pipeline_id)
        item = self._pipelines.get(pipeline_id)
        if item is None or shown is None:
            return None
        if shown is pipeline.Phase.QUEUED and item.started:
            return pipeline.Phase.RUNNING
        return shown

    def pending(self) -> dict[str, int]:
        """Returns the pipelines without a started task, by queue."""
        found: dict[str, int] = {}
        for item in self._open.values():
            if not item.started:
                name = item.declaration.queue
                found[name] = found.get(name, 0) + 1
        return found

    @property
    def has_uncommitted(self) -> bool:
        """Whether anything waits to be committed."""
        return bool(self._dirty or self._new_agents or self._forgetting)

    def next_batch(self, ends: dict[fleet.WorkerKey, int]) -> Batch:
        """Returns what the next commit has to store.

        Args:
            ends: Number of the last processed end, by worker's life. They are
                durable only once no changed progress is left over.
        """
        progress = {
            name: self._pipelines[name].progress()
            for name in list(self._dirty)[:MAX_PROGRESS_ROWS]
        }
        for name in progress:
            del self._dirty[name]
        agents = dict(list(self._new_agents.items())[:MAX_AGENTS])
        for name in agents:
            del self._new_agents[name]
        forgotten = tuple(self._forgetting)[:MAX_REMOVED]
        del self._forgetting[:MAX_REMOVED]
        ends = {} if self._dirty else ends
        return Batch(progress, ends, agents, forgotten)

    def requeue(self, batch: Batch) -> None:
        """Notes that a batch was certainly not stored."""
        self._dirty.update(dict.fromkeys(batch.progress))
        self._new_agents = {**batch.agents, **self._new_agents}
        self._forgetting.extend(batch.removed)

    def expired(self, retention_ms: float) -> tuple[str, ...]:
        """Returns pipelines that ended long ago, and of which nothing runs.

        Args:
            retention_ms: Time after which an ended pipeline is forgotten.
        """
        horizon = self._unix_ms() - retention_ms
        found = []
        for name, item in self._pipelines.items():
            if len(found) >= MAX_REMOVED:
                break
            if (
                item.ended
                and 0 < item.ended_ms < horizon
                and not any(self._runs(t) for t in item.unfinished())
            ):
                found.append(name)
        return tuple(found)
