"""Guard of tasks declared `once`: never run again after a possible end.

Each attempt has an outcome object. It says started before the attempt starts,
and completed or certainly not completed before the end is reported. A later
attempt that finds an earlier one merely started does not run, since nobody
knows whether that one completed. An attempt writes no other one's object, so
a write that takes effect late can't hide what a later attempt wrote.
"""

import enum

import attrs
import msgspec

from pomelostair import outcome
from pomelostair import store


class Mark(enum.Enum):
    """How far an attempt came."""

    STARTED = "started"
    NOT_COMPLETED = "not-completed"
    COMPLETED = "completed"


@attrs.frozen
class Record:
    """Content of the outcome object of an attempt.

    Attributes:
        mark: How far the attempt came.
        boot: Id of the start of the worker that ran it.
    """

    mark: Mark
    boot: str


class Verdict(enum.Enum):
    """Whether an attempt may start."""

    START = "start"
    WAIT = "wait"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


def key(task: str, attempt: int) -> str:
    """Returns the key of an attempt's outcome object."""
    return f"outcomes/{task}/{attempt}"


def judge(earlier: Record | None, own: Record | None, boot: str) -> Verdict:
    """Returns whether an attempt that its worker does not show may start.

    Args:
        earlier: Record of the latest earlier attempt that left one.
        own: Record of the attempt itself.
        boot: Id of the current start of the worker.
    """
    if earlier is not None and earlier.mark is Mark.COMPLETED:
        return Verdict.COMPLETED
    if earlier is not None and earlier.mark is Mark.STARTED:
        return Verdict.UNKNOWN
    if own is None or own == Record(Mark.STARTED, boot):
        return Verdict.START
    if own.mark is Mark.COMPLETED:
        return Verdict.COMPLETED
    return Verdict.UNKNOWN


async def claim(
    objects: store.Objects, task: str, attempt: int, boot: str
) -> Verdict:
    """Decides whether an attempt may start and writes it as started."""
    own = await _read(objects, task, attempt)
    if isinstance(own, outcome.Unavailable):
        return Verdict.WAIT
    earlier = await _read_earlier(objects, task, attempt)
    if isinstance(earlier, outcome.Unavailable):
        return Verdict.WAIT
    verdict = judge(earlier, own, boot)
    if verdict is not Verdict.START or own is not None:
        return verdict
    data = msgspec.json.encode(Record(Mark.STARTED, boot))
    result = await objects.put(key(task, attempt), data, create=True)
    return verdict if isinstance(result, store.Stored) else Verdict.WAIT


async def settle(
    objects: store.Objects, task: str, attempt: int, completed: bool, boot: str
) -> bool:
    """Writes the end of an attempt; False if it is not certainly stored."""
    mark = Mark.COMPLETED if completed else Mark.NOT_COMPLETED
    data = msgspec.json.encode(Record(mark, boot))
    result = await objects.put(key(task, attempt), data)
    return isinstance(result, store.Stored)


async def _read(
    objects: store.Objects, task: str, attempt: int
) -> Record | None | outcome.Unavailable:
    match await objects.get(key(task, attempt)):
        case store.Object(data=data):
            return msgspec.json.decode(data, type=Record)
        case store.Absent():
            return None
        case unavailable:
            return unavailable


async def _read_earlier(
    objects: store.Objects, task: str, attempt: int
) -> Record | None | outcome.Unavailable:
    for number in range(attempt - 1, 0, -1):
        found = await _read(objects, task, number)
        if found is not None:
            return found
    return None
