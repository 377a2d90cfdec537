"""Result types that operations return instead of raising exceptions."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether the work of a refused or failed request may have run."""

    NO = "no"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Machine-readable kinds of refusals and failures."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_JOB = "unknown-job"
    NO_TARGET = "no-target"
    NOT_READY = "not-ready"
    NO_LEADER = "no-leader"
    NOT_LEADER = "not-leader"
    NOT_SENT = "not-sent"
    DRAINING = "draining"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    LIMITED = "limited"
    STORE_UNAVAILABLE = "store-unavailable"
    TARGET_FAILED = "target-failed"
    ANSWER_LOST = "answer-lost"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    STALE_EPOCH = "stale-epoch"
    OVER_CAPACITY = "over-capacity"
    QUOTA = "quota"
    NEVER_FITS = "never-fits"
    SITE_STOPPING = "site-stopping"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Refused:
    """A refusal or failure, sent between processes and to callers.

    Attributes:
        kind: Kind of the refusal or failure.
        message: What to do about it, as a sentence.
        ran: Whether the work may have run; `NO` guarantees that it did not
            and will not.
    """

    kind: Kind
    message: str
    ran: Ran = Ran.NO


@dataclasses.dataclass(frozen=True)
class Committed:
    """A transaction took effect; all rows it wrote have `version`."""

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction was not applied: its check of `key` failed.

    Attributes:
        key: Key of the row that was checked.
        version: Current version of that row.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """An operation failed and was certainly not applied."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """An operation failed, but may have been or may still be applied."""

    reason: str


CommitResult = Committed | Conflict | Unavailable | Unknown
