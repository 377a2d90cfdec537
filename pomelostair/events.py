"""Catalogue of the numbered events that the processes log.

docs/EVENTS.md lists the same events; a test compares the two.
"""

import enum
import logging

import attrs


@attrs.frozen
class Event:
    """A kind of event.

    Attributes:
        number: Stable number of the event; it is never changed or reused.
        level: Level of the `logging` module.
        text: Message of the log line.
    """

    number: int
    level: int
    text: str


class Events(enum.Enum):
    """All events; the member name is the `event_name` of the log line."""

    STARTED = Event(100, logging.INFO, "process started")
    STOPPED = Event(101, logging.INFO, "process stopped")
    DRAINING = Event(102, logging.INFO, "process is draining")
    DRAIN_CUT_SHORT = Event(
        103, logging.WARNING, "plug-in exceeded its drain timeout"
    )
    STOPPED_AT_ONCE = Event(104, logging.WARNING, "second signal; stopping now")
    PLUGIN_CRASHED = Event(110, logging.ERROR, "plug-in crashed; restarting")
    HANDLER_CRASHED = Event(111, logging.ERROR, "message handler crashed")
    MESSAGE_DROPPED = Event(120, logging.WARNING, "message dropped")
    HTTP_FAILED = Event(130, logging.ERROR, "HTTP handler failed")
    LIMIT_REACHED = Event(131, logging.WARNING, "limit for callers reached")
    PEER_JOINED = Event(140, logging.INFO, "process joined")
    TARGET_UP = Event(200, logging.INFO, "target announced itself")
    TARGET_SILENT = Event(201, logging.WARNING, "target is silent")
    TARGET_LEFT = Event(202, logging.INFO, "target left")
    TARGET_EJECTED = Event(203, logging.WARNING, "target ejected")
    TARGET_RESTORED = Event(204, logging.INFO, "target restored")
    MINION_GONE = Event(205, logging.WARNING, "minion is not listening")
    INTENT_UNKNOWN = Event(206, logging.WARNING, "intent outcome unknown")
    LEASE_ACQUIRED = Event(300, logging.INFO, "cell lease acquired")
    LEASE_LOST = Event(301, logging.WARNING, "cell lease lost")
    LEASE_RENEWAL_FAILED = Event(302, logging.WARNING, "lease not renewed")
    CELL_RECOVERED = Event(303, logging.INFO, "cell state recovered")
    COMMIT_UNKNOWN = Event(304, logging.WARNING, "commit outcome unknown")
    SNAPSHOT_WRITTEN = Event(305, logging.INFO, "snapshot written")
    LOG_DAMAGED = Event(306, logging.ERROR, "cell log is incomplete")
    LEASE_GIVEN_UP = Event(307, logging.INFO, "cell lease given up")
    TASK_STARTED = Event(400, logging.INFO, "task started")
    TASK_ENDED = Event(401, logging.INFO, "task ended")
    TASK_EVICTED = Event(402, logging.INFO, "task evicted")
    TASK_LOST = Event(403, logging.WARNING, "task lost with its worker")
    TASK_THROTTLED = Event(404, logging.INFO, "task throttled")
    TASK_PARKED = Event(405, logging.INFO, "task parked")
    TASK_REFUSED = Event(406, logging.WARNING, "task refused by its worker")
    TASK_OUTCOME_UNKNOWN = Event(
        407, logging.ERROR, "earlier attempt may have completed"
    )
    CHECKPOINT_FAILED = Event(408, logging.WARNING, "checkpoint not stored")
    WORKER_SILENT = Event(410, logging.WARNING, "worker is silent")
    WORKER_DECLARED_DEAD = Event(414, logging.WARNING, "worker declared dead")
    WORKER_QUARANTINED = Event(411, logging.WARNING, "worker quarantined")
    WORKER_RESTORED = Event(412, logging.INFO, "worker left quarantine")
    WORKER_OVER_CAPACITY = Event(
        413, logging.WARNING, "worker exceeds its capacity"
    )
    START_ORDERED = Event(420, logging.INFO, "attempt start ordered")
    STOP_ORDERED = Event(421, logging.INFO, "attempt stop ordered")
    START_REFUSED = Event(422, logging.WARNING, "worker refused a start")
    ATTEMPT_ENDED = Event(423, logging.INFO, "attempt ended")
    ATTEMPT_ORPHANED = Event(424, logging.WARNING, "unknown attempt is running")
    ATTEMPT_PACED = Event(425, logging.INFO, "attempt paced")
    ORDER_CARRIED_OUT = Event(426, logging.INFO, "order carried out")
    ATTEMPT_LOST = Event(427, logging.WARNING, "attempt lost with its worker")
    PIPELINE_ACCEPTED = Event(430, logging.INFO, "pipeline accepted")
    PIPELINE_REFUSED = Event(431, logging.WARNING, "call refused")
    PIPELINE_CANCELLED = Event(432, logging.INFO, "pipeline cancelled")
    PIPELINE_ENDED = Event(433, logging.INFO, "pipeline ended")
    PIPELINE_FITS_NOWHERE = Event(
        434, logging.WARNING, "task does not fit on any worker"
    )
    ADVICE_TAKEN = Event(435, logging.INFO, "advisor answer applied")
    ADVICE_FAILED = Event(436, logging.WARNING, "advisor did not respond")
    TASK_WAITS = Event(437, logging.WARNING, "task is not running")
    PIPELINE_WORKER_UP = Event(440, logging.INFO, "worker incarnation started")
    PIPELINE_WORKER_GONE = Event(
        441, logging.WARNING, "worker incarnation ended"
    )
    PIPELINE_WORKER_SILENT = Event(
        442, logging.WARNING, "worker does not respond to its agent"
    )
    PIPELINE_WORKER_ANSWERS = Event(443, logging.INFO, "worker responds again")
    PIPELINE_WORKER_DRAINS = Event(444, logging.INFO, "worker is draining")
    PIPELINE_WORKER_SUSPECT = Event(
        445, logging.WARNING, "worker gets no new attempts"
    )
    EARLIER_LEASES_LAPSED = Event(
        446, logging.WARNING, "leases of earlier leaders have lapsed"
    )
    HEARTBEAT_IGNORED = Event(447, logging.WARNING, "heartbeat ignored")
    PIPELINE_WORKER_RESIZED = Event(
        454, logging.INFO, "capacity of a worker has changed"
    )
    WORKER_CALL_CRASHED = Event(448, logging.ERROR, "call of a worker crashed")
    WORKER_CRASHED_AT_START = Event(
        449, logging.WARNING, "worker crashed at the start of an attempt"
    )
    PIPELINE_LEADER_FOUND = Event(450, logging.INFO, "leader discovered")
    PIPELINE_LEADER_LOST = Event(451, logging.WARNING, "no leader known")
    PIPELINES_RECOVERED = Event(452, logging.INFO, "pipelines recovered")
    ROW_IGNORED = Event(453, logging.WARNING, "unreadable row ignored")
    EARLIER_ATTEMPTS_KNOWN = Event(
        455, logging.INFO, "attempts of earlier terms are known"
    )
    STORE_LOST = Event(460, logging.WARNING, "store refuses this process")
    STORE_BACK = Event(461, logging.INFO, "store serves this process again")
    EVACUATION_BEGUN = Event(470, logging.WARNING, "zone is being evacuated")
    EVACUATION_ENDED = Event(471, logging.INFO, "zone gets work again")
    EVACUATED_ZONE_UNKNOWN = Event(
        472, logging.WARNING, "evacuated zone has no known worker"
    )
    EVACUATION_BLOCKS_SERVICE = Event(
        473, logging.WARNING, "service has no worker outside evacuated zones"
    )
    EVACUATIONS_UNREAD = Event(
        474, logging.WARNING, "rows of evacuations can't be read"
    )
    STARTED_FAR_AFTER_WAIT = Event(
        480, logging.INFO, "task started far from its data after a wait"
    )
    PIPELINE_WORKER_SLOW = Event(
        481, logging.WARNING, "worker is slower than others"
    )
    PIPELINE_WORKER_NOT_SLOW = Event(
        482, logging.INFO, "worker is not slower than others any more"
    )
    RELOADED = Event(105, logging.INFO, "settings reloaded")
    RELOAD_REFUSED = Event(106, logging.WARNING, "changed settings refused")
    LINES_DROPPED = Event(107, logging.WARNING, "log lines dropped")
    CONFIG_APPLIED = Event(500, logging.INFO, "configuration in force")
    CONFIG_REFUSED = Event(501, logging.WARNING, "configuration refused")
    COMMAND_RUN = Event(502, logging.INFO, "operator command run")
    CONFIG_UNREAD = Event(503, logging.WARNING, "configuration can't be read")
