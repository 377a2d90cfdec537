"""Queues that accept pipelines, as the configuration in force names them."""

import attrs


@attrs.frozen
class AdviceTerms:
    """Terms of the service that tells which workers may run a stage.

    Attributes:
        decision_ms: Its time for one call.
        per_worker_ms: Its further time for each worker asked about.
        valid_ms: How long a ticket is valid.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue of pipelines.

    Attributes:
        name: Its name.
        host: Host that callers name.
        path_prefix: Path before the id of a pipeline.
        service: Service whose workers run its tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Failed attempts of a task that fail its pipeline.
        stretch: Factor on the longest chain of work in the objective.
        objective_ms: Further time in the objective.
        timeout_ms: Longest time for an answer to a caller.
        advice: Terms of the advice that its tasks need, None for none.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 3000
    advice: AdviceTerms | None = None


@attrs.frozen
class QueueTable:
    """All queues of one version of the configuration.

    Attributes:
        version: Version; 0 before any configuration is known.
        queues: The queues.
        self_limiting: Services whose workers refuse what does not fit.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    self_limiting: frozenset[str] = frozenset()

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the longest prefix of a path, if any."""
        name = host.partition(":")[0].lower()
        found = [
            queue
            for queue in self.queues
            if queue.host.lower() == name and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda q: len(q.path_prefix), default=None)

    def named(self, name: str) -> Queue | None:
        """Returns the queue with a name, if any."""
        return next((q for q in self.queues if q.name == name), None)
