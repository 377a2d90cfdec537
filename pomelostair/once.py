"""Guard of tasks declared `once`: none runs again if it may have completed.

Each attempt has its own outcome object in the object store. It is written as
started before the attempt starts, and as completed or certainly not completed
before the end is reported. If an earlier attempt is recorded only as started, a
later one does not start, since the earlier one may have completed. An attempt
writes only its own object, so a delayed write can't overwrite the record of a
later attempt.
"""

import enum

import attrs
import msgspec

from pomelostair import codec
from pomelostair import outcome
from pomelostair import store


class OutcomeMark(enum.Enum):
    """Recorded state of an attempt."""

    STARTED = "started"
    NOT_COMPLETED = "not-completed"
    COMPLETED = "completed"


@attrs.frozen
class OutcomeRecord:
    """Content of the outcome object of an attempt.

    Attributes:
        mark: State of the attempt.
        boot: Id of the worker's start during which it ran.
    """

    mark: OutcomeMark
    boot: str


class StartDecision(enum.Enum):
    """Whether an attempt may start.

    Attributes:
        START: It may start.
        WAIT: An outcome object could not be read or written; to be retried.
        COMPLETED: This or an earlier attempt has completed.
        UNKNOWN: This or an earlier attempt may have completed.
    """

    START = "start"
    WAIT = "wait"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


def outcome_key(task: str, attempt: int) -> str:
    """Returns the key of an attempt's outcome object."""
    return f"outcomes/{task}/{attempt}"


def decide_start(
    earlier: OutcomeRecord | None, own: OutcomeRecord | None, boot: str
) -> StartDecision:
    """Returns whether an attempt that its worker does not list may start.

    Args:
        earlier: Record of the latest earlier attempt that has one, if any.
        own: Record of the attempt itself, if any.
        boot: Id of the current start of the worker.
    """
    if earlier is not None and earlier.mark is OutcomeMark.COMPLETED:
        return StartDecision.COMPLETED
    if earlier is not None and earlier.mark is OutcomeMark.STARTED:
        return StartDecision.UNKNOWN
    if own is None or own == OutcomeRecord(OutcomeMark.STARTED, boot):
        return StartDecision.START
    if own.mark is OutcomeMark.COMPLETED:
        return StartDecision.COMPLETED
    return StartDecision.UNKNOWN


async def claim(
    objects: store.Objects, task: str, attempt: int, boot: str
) -> StartDecision:
    """Decides whether an attempt may start, and if so records its start."""
    own = await _read_record(objects, task, attempt)
    if isinstance(own, outcome.Unavailable):
        return StartDecision.WAIT
    earlier = await _read_latest_earlier(objects, task, attempt)
    if isinstance(earlier, outcome.Unavailable):
        return StartDecision.WAIT
    decision = decide_start(earlier, own, boot)
    if decision is not StartDecision.START or own is not None:
        return decision
    data = msgspec.json.encode(OutcomeRecord(OutcomeMark.STARTED, boot))
    result = await objects.put(outcome_key(task, attempt), data, create=True)
    return decision if isinstance(result, store.Stored) else StartDecision.WAIT


async def record_end(
    objects: store.Objects, task: str, attempt: int, completed: bool, boot: str
) -> bool:
    """Records the end of an attempt.

    Returns:
        Whether the record is certainly stored.
    """
    mark = OutcomeMark.COMPLETED if completed else OutcomeMark.NOT_COMPLETED
    data = msgspec.json.encode(OutcomeRecord(mark, boot))
    result = await objects.put(outcome_key(task, attempt), data)
    return isinstance(result, store.Stored)


async def _read_record(
    objects: store.Objects, task: str, attempt: int
) -> OutcomeRecord | None | outcome.Unavailable:
    match await objects.get(outcome_key(task, attempt)):
        case store.Object(data=data):
            return codec.decode_json(data, OutcomeRecord)
        case store.Absent():
            return None
        case unavailable:
            return unavailable


async def _read_latest_earlier(
    objects: store.Objects, task: str, attempt: int
) -> OutcomeRecord | None | outcome.Unavailable:
    for earlier_attempt in range(attempt - 1, 0, -1):
        record = await _read_record(objects, task, earlier_attempt)
        if record is not None:
            return record
    return None
