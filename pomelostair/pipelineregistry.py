"""Registry of a leader's pipelines and agents, with uncommitted changes."""

from collections.abc import Callable

import attrs

from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelinerows

# Most progress rows, agents and removed pipelines in a commit. The platform
# accepts 100 entries in a transaction, and the lease row is one of them.
MAX_PROGRESS_ROWS = 60
# Bytes of progress in a commit after which no further row is added. With the
# largest rows and their encoding, a transaction stays below the platform's
# limit of 1 MB.
MAX_PROGRESS_BYTES = 500_000
MAX_AGENTS = 20
MAX_REMOVED = 10


@attrs.frozen
class Batch:
    """Changes that one commit stores.

    Attributes:
        progress: Progress by id of the pipeline.
        rows: The encoded progress by id of the pipeline.
        ends: Number of the last applied end by worker id and incarnation;
            durable with the commit.
        agents: Registrations of agents by name.
        removed: Ids of the pipelines whose rows are deleted.
    """

    progress: dict[str, pipeline.Progress]
    rows: dict[str, bytes]
    ends: dict[fleet.WorkerKey, int]
    agents: dict[str, fleet.Registration]
    removed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no row changes."""
        return not (self.progress or self.agents or self.removed)


class PipelineRegistry:
    """Pipelines and agents during one term of a leader.

    Args:
        term_version: Version of the lease row that began the term; pipelines
            with a higher version were accepted after it.
        unix_ms: Returns the current Unix time in milliseconds.
        has_attempts: Returns whether an attempt of a task may be running.
    """

    def __init__(
        self,
        term_version: int,
        unix_ms: Callable[[], float],
        has_attempts: Callable[[pipeline.Task], bool],
    ):
        self._term_version = term_version
        self._unix_ms = unix_ms
        self._has_attempts = has_attempts
        self._pipelines: dict[str, pipeline.Pipeline] = {}
        self._stored_phases: dict[str, pipeline.Phase] = {}
        self._open: dict[str, pipeline.Pipeline] = {}
        self._timed: dict[str, pipeline.Pipeline] = {}
        self._changed: dict[str, None] = {}
        self._agents: dict[str, fleet.Registration] = {}
        # Registrations as they will be stored after the next commits.
        self._latest_agents: dict[str, fleet.Registration] = {}
        self._changed_agents: dict[str, fleet.Registration] = {}
        self._committing_agents: dict[str, fleet.Registration] = {}
        self._to_remove: list[str] = []
        # Pipelines with stored crashes or losses that were not taken yet.
        self._restored: list[pipeline.Pipeline] = []

    @property
    def open(self) -> dict[str, pipeline.Pipeline]:
        """Pipelines that have not ended, by id."""
        return self._open

    @property
    def agents(self) -> dict[str, fleet.Registration]:
        """Stored registrations of agents, by name."""
        return self._agents

    def find_task(self, task_id: str) -> pipeline.Task | None:
        """Returns the task with an id, or None if it is unknown."""
        name, _, key = task_id.partition(".")
        item = self._pipelines.get(name)
        return None if item is None else item.task(key)

    def set_agents(self, agents: dict[str, fleet.Registration]) -> None:
        """Sets the agents whose registrations earlier leaders stored."""
        self._agents = dict(agents)
        self._latest_agents = dict(agents)

    def register_agent(
        self,
        agent: str,
        bus: str,
        reported: tuple[fleet.KnownIncarnation, ...],
        complete: bool,
    ) -> None:
        """Schedules the registration of an agent for storage, if it changes.

        Args:
            agent: Name of the agent.
            bus: Bus URL of the agent.
            reported: Incarnations of workers that it reports.
            complete: Whether it reports every incarnation on its host.
        """
        latest = self._latest_agents.get(agent)
        previous = latest or fleet.Registration(bus)
        updated = previous.with_reported(bus, reported, complete)
        if updated != latest:
            self._change_agent(agent, updated)

    def unregister(self, agent: str, key: fleet.WorkerKey) -> None:
        """Schedules the removal of an incarnation whose leases have lapsed.

        Later leaders then do not wait for its leases. It gets no work before it
        is registered again.

        Args:
            agent: Name of its agent.
            key: Worker id and incarnation.
        """
        latest = self._latest_agents.get(agent)
        if latest is not None and latest.without(key) != latest:
            self._change_agent(agent, latest.without(key))

    def _change_agent(
        self, agent: str, registration: fleet.Registration
    ) -> None:
        self._latest_agents[agent] = registration
        self._changed_agents[agent] = registration

    def is_registered(self, agent: str, key: fleet.WorkerKey) -> bool:
        """Returns whether an incarnation is stored as possibly having work.

        A commit that has not ended yet must not remove it either.
        """
        stored = self._agents.get(agent)
        return stored is not None and all(
            any(known.key == key for known in registration.lives)
            for registration in (
                stored,
                self._committing_agents.get(agent, stored),
                self._latest_agents.get(agent, stored),
            )
        )

    def replace_malformed(self, agent: str) -> None:
        """Schedules an empty registration in place of a malformed one.

        Later leaders then do not wait for the leases of unknown workers.
        """
        if agent not in self._latest_agents:
            self._change_agent(agent, fleet.Registration(""))

    def is_changed(self, pipeline_id: str) -> bool:
        """Returns whether progress of a pipeline waits to be stored."""
        return pipeline_id in self._changed

    def mark_changed(self, item: pipeline.Pipeline) -> None:
        """Schedules the progress of a pipeline for storage."""
        self._changed[item.id] = None

    def close(self, item: pipeline.Pipeline) -> None:
        """Records that a pipeline has ended."""
        self.mark_changed(item)
        self._open.pop(item.id, None)
        self._timed.pop(item.id, None)

    def open_due(self, now: float) -> None:
        """Opens the due occurrences of all timed pipelines."""
        unix_ms = self._unix_ms()
        for item in list(self._timed.values()):
            item.open_due(unix_ms, now)
            if item.next_due_ms() is None:
                del self._timed[item.id]

    def forget(self, pipeline_id: str) -> None:
        """Drops a pipeline whose declaration was removed.

        The rest of its rows is scheduled for removal.
        """
        self._pipelines.pop(pipeline_id, None)
        self._stored_phases.pop(pipeline_id, None)
        self._changed.pop(pipeline_id, None)
        self._to_remove.append(pipeline_id)

    def confirm(self, batch: Batch) -> None:
        """Records that a batch is durable."""
        for name, progress in batch.progress.items():
            self._stored_phases[name] = progress.phase
        self._agents.update(batch.agents)
        self._committing_agents = {}

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
        """Adds an accepted pipeline, unless it is present.

        The age of one that was accepted in this term does not depend on the
        times of day of two hosts, which may jump.
        """
        if declaration.id in self._pipelines:
            return
        age_s = 0.0
        if version <= self._term_version:
            age_ms = self._unix_ms() - declaration.submitted_ms
            age_s = max(0.0, age_ms / 1000)
        item = pipeline.Pipeline(declaration, version, progress, now, age_s)
        self._pipelines[item.id] = item
        self._stored_phases[item.id] = progress.phase
        if not item.ended:
            self._open[item.id] = item
            if progress.crashes or progress.unexplained:
                self._restored.append(item)
            if declaration.timed:
                # Attempts of these occurrences may be reported before the
                # first round.
                item.open_due(self._unix_ms(), now)
                self._timed[item.id] = item

    def take_restored(self) -> list[pipeline.Pipeline]:
        """Returns pipelines added since the last call that need explanations.

        Earlier leaders stored crashes or unexplained losses of their tasks.
        """
        restored, self._restored = self._restored, []
        return restored

    def phase(self, pipeline_id: str) -> pipeline.Phase | None:
        """Returns the durable phase of a pipeline, None if it is unknown.

        A queued pipeline counts as running once a task has started, even if
        its progress is not stored yet.
        """
        stored = self._stored_phases.get(pipeline_id)
        item = self._pipelines.get(pipeline_id)
        if item is None or stored is None:
            return None
        if stored is pipeline.Phase.QUEUED and item.started:
            return pipeline.Phase.RUNNING
        return stored

    def pending(self) -> dict[str, int]:
        """Returns the number of pipelines without a started task by queue."""
        counts: dict[str, int] = {}
        for item in self._open.values():
            if not item.started:
                name = item.declaration.queue
                counts[name] = counts.get(name, 0) + 1
        return counts

    @property
    def has_uncommitted(self) -> bool:
        """Whether any change is not yet committed."""
        return bool(self._changed or self._changed_agents or self._to_remove)

    def next_batch(self, ends: dict[fleet.WorkerKey, int]) -> Batch:
        """Returns the changes that the next commit stores.

        Args:
            ends: Number of the last applied end by worker id and incarnation.
                The batch includes them only if it covers all changed progress;
                otherwise they would not be durable with it.
        """
        progress: dict[str, pipeline.Progress] = {}
        rows: dict[str, bytes] = {}
        size = 0
        for name in list(self._changed)[:MAX_PROGRESS_ROWS]:
            if size >= MAX_PROGRESS_BYTES:
                break
            progress[name] = self._pipelines[name].progress()
            rows[name] = pipelinerows.encode_progress(progress[name])
            size += len(rows[name])
            del self._changed[name]
        agents = dict(list(self._changed_agents.items())[:MAX_AGENTS])
        for name in agents:
            del self._changed_agents[name]
        self._committing_agents = agents
        removed = tuple(self._to_remove)[:MAX_REMOVED]
        del self._to_remove[:MAX_REMOVED]
        ends = {} if self._changed else ends
        return Batch(progress, rows, ends, agents, removed)

    def requeue(self, batch: Batch) -> None:
        """Schedules a batch again that was certainly not stored."""
        self._changed.update(
            (name, None) for name in batch.progress if name in self._pipelines
        )
        self._changed_agents = {**batch.agents, **self._changed_agents}
        self._committing_agents = {}
        self._to_remove.extend(batch.removed)

    def expired(self, retention_ms: float) -> tuple[str, ...]:
        """Returns expired pipelines of which no attempt may be running.

        Args:
            retention_ms: Time for which an ended pipeline is retained.
        """
        cutoff_ms = self._unix_ms() - retention_ms
        expired = []
        for name, item in self._pipelines.items():
            if len(expired) >= MAX_REMOVED:
                break
            if (
                item.ended
                and 0 < item.ended_ms < cutoff_ms
                and not any(self._has_attempts(t) for t in item.unfinished())
            ):
                expired.append(name)
        return tuple(expired)
