"""Tagged outcomes that operations return in place of exceptions."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a refused or failed piece of work may have run."""

    NO = "no"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Kinds of refusal and failure that the system itself makes."""

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
    CONFLICT = "conflict"
    STALE_EPOCH = "stale-epoch"
    OVER_CAPACITY = "over-capacity"
    QUOTA = "quota"
    NEVER_FITS = "never-fits"
    SITE_STOPPING = "site-stopping"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Refused:
    """A refusal or failure; travels between processes and to callers.

    Attributes:
        kind: What was refused or failed.
        message: Sentence that names the remedy.
        ran: `NO` is a promise that the work did not and will not run.
    """

    kind: Kind
    message: str
    ran: Ran = Ran.NO


@dataclasses.dataclass(frozen=True)
class Committed:
    """A transaction took effect; `version` is that of all rows it put."""

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A transaction was not applied, since `key` is at `version`."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """An operation was certainly not applied."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """An operation may or may not have been applied."""

    reason: str


CommitResult = Committed | Conflict | Unavailable | Unknown
