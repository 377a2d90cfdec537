"""Checkpoints of evicted tasks in the object store."""

import attrs
import msgspec

from pomelostair import codec
from pomelostair import outcome
from pomelostair import store


@attrs.frozen
class Checkpoint:
    """Content of a checkpoint object.

    Attributes:
        task: Id of the task.
        attempt: Number of the evicted attempt.
        progress: Completed share of the work, 0 to 1.
    """

    task: str
    attempt: int
    progress: float


def checkpoint_key(task: str, attempt: int) -> str:
    """Returns the key of the checkpoint object of an attempt."""
    return f"checkpoints/{task}/{attempt}"


async def save(objects: store.Objects, checkpoint: Checkpoint) -> bool:
    """Writes a checkpoint.

    Returns:
        Whether it is certainly stored.
    """
    data = msgspec.json.encode(checkpoint)
    result = await objects.put(
        checkpoint_key(checkpoint.task, checkpoint.attempt), data
    )
    return isinstance(result, store.Stored)


async def load(
    objects: store.Objects, checkpoint: str
) -> Checkpoint | store.Absent | outcome.Unavailable:
    """Reads a checkpoint.

    Args:
        objects: The object store.
        checkpoint: Key of the checkpoint object.
    """
    match await objects.get(checkpoint):
        case store.Object(data=data):
            return codec.decode_json(data, Checkpoint)
        case not_loaded:
            return not_loaded
