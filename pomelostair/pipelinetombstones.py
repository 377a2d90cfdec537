"""Tombstones: cancellations of pipelines that were not accepted before.

The store may perform the write of a submission seconds after its caller has
got no answer, and callers repeat submissions. A cancellation therefore also
stores its row where there is no declaration, and no declaration with its id is
accepted while the row exists. The leader deletes it after a while.
"""

import attrs

from pomelostair import pipelinerows
from pomelostair import store

# Tombstones in a transaction, with three entries each. The platform accepts 100
# entries.
MAX_BATCH = 30


@attrs.frozen
class Tombstone:
    """A stored cancellation without a declaration.

    Attributes:
        id: Id of the pipeline.
        version: Version of the row; each further cancellation raises it.
        since_s: Monotonic time at which this version was first seen.
    """

    id: str
    version: int
    since_s: float


class Tombstones:
    """Tombstones that the leader has seen in its term.

    Args:
        retention_s: Time for which a tombstone is retained. It must exceed the
            delay of late writes and the time for which callers repeat a
            submission.
    """

    def __init__(self, retention_s: float):
        self._retention_s = retention_s
        # In the order of `since_s`.
        self._tombstones: dict[str, Tombstone] = {}

    def __len__(self) -> int:
        return len(self._tombstones)

    def record(self, pipeline_id: str, version: int, now: float) -> None:
        """Records a tombstone; a version that is known keeps its time.

        Args:
            pipeline_id: Id of the pipeline.
            version: Version of its row.
            now: Monotonic seconds.
        """
        known = self._tombstones.get(pipeline_id)
        if known is None or known.version < version:
            self._tombstones.pop(pipeline_id, None)
            self._tombstones[pipeline_id] = Tombstone(pipeline_id, version, now)

    def discard(self, tombstone: Tombstone) -> None:
        """Drops a tombstone, unless a later version of it was recorded."""
        if self._tombstones.get(tombstone.id) == tombstone:
            del self._tombstones[tombstone.id]

    def expired(self, now: float) -> list[list[Tombstone]]:
        """Returns the expired tombstones, in batches of one partition each.

        Args:
            now: Monotonic seconds.
        """
        open_batches: dict[str, list[Tombstone]] = {}
        batches = []
        for tombstone in self._tombstones.values():
            if now - tombstone.since_s < self._retention_s:
                break
            partition = pipelinerows.partition_of(tombstone.id)
            batch = open_batches.setdefault(partition, [])
            if not batch:
                batches.append(batch)
            batch.append(tombstone)
            if len(batch) == MAX_BATCH:
                del open_batches[partition]
        return batches


def deletion(batch: list[Tombstone]) -> store.Transaction:
    """Returns a transaction that deletes tombstones of one partition.

    It is refused if one of them was written again, or if the pipeline was
    accepted before its cancellation, so that the row is no tombstone.
    """
    checks = []
    for tombstone in batch:
        checks.append(
            store.Check(pipelinerows.declaration_key(tombstone.id), 0)
        )
        checks.append(
            store.Check(
                pipelinerows.cancellation_key(tombstone.id), tombstone.version
            )
        )
    return store.Transaction(
        tuple(checks),
        deletes=tuple(pipelinerows.cancellation_key(t.id) for t in batch),
    )
