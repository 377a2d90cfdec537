"""Queues of pipelines in the current configuration."""

import attrs


@attrs.frozen
class AdviceTerms:
    """Terms of the advisor that approves workers for a stage.

    Attributes:
        decision_ms: Time that the advisor takes for one call.
        per_worker_ms: Additional time for each worker asked about.
        valid_ms: How long a ticket is valid.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue of pipelines.

    Attributes:
        name: Name of the queue.
        host: Host name in the requests of callers.
        path_prefix: Path before the id of a pipeline.
        service: Service whose workers run the tasks.
        priority: Priority; 0 goes first and may preempt others.
        max_attempts: Failed attempts of a task after which its pipeline fails.
        stretch: Factor on the longest chain of work of a pipeline. Its
            objective is this product plus `objective_ms`.
        objective_ms: Constant part of the objective.
        timeout_ms: Maximum time to answer a caller.
        advice: Terms of the advisor that must approve the workers, None if no
            approval is needed.
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
        version: Version of the configuration, 0 before any is known.
        queues: All queues.
        self_limiting: Services whose workers refuse tasks that do not fit.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    self_limiting: frozenset[str] = frozenset()

    def match(self, host: str, path: str) -> Queue | None:
        """Returns the queue for a request, None if there is none.

        Args:
            host: Host in the request, with or without a port.
            path: Path of the request. The queue with the longest matching
                prefix is returned.
        """
        host_name = host.partition(":")[0].lower()
        candidates = [
            queue
            for queue in self.queues
            if queue.host.lower() == host_name
            and path.startswith(queue.path_prefix)
        ]
        return max(candidates, key=lambda q: len(q.path_prefix), default=None)

    def by_name(self, name: str) -> Queue | None:
        """Returns the queue with a name, None if there is none."""
        return next((q for q in self.queues if q.name == name), None)
