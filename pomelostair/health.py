"""Ejection of failing and slow minions, and probes for their recovery.

A probe is an ordinary request that is sent to an ejected or slow minion.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import statistics

import attrs

from pomelostair import clock as clock_module
from pomelostair import directory
from pomelostair import messages
from pomelostair import outcome

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 4.0
MIN_PEERS = 3
MIN_ELIGIBLE_SHARE = 0.5
PROBE_INTERVAL_MIN_S = 1.0
PROBE_INTERVAL_MAX_S = 30.0
PROBE_OVERDUE_S = 2.0
MAX_RECORDS = 1024

_FAILURE_KINDS = frozenset(
    {
        outcome.Kind.NOT_SENT,
        outcome.Kind.TARGET_FAILED,
        outcome.Kind.ANSWER_LOST,
    }
)


@attrs.define
class _TargetRecord:
    """Recent results of one minion.

    Attributes:
        incarnation: Incarnation of its agent.
        consecutive_failures: Failures since the last success.
        ejected: Whether it gets probes only.
        probe_interval_s: Time between probes.
        next_probe_s: Monotonic seconds at which the next probe is due.
    """

    incarnation: str
    consecutive_failures: int = 0
    ejected: bool = False
    probe_interval_s: float = PROBE_INTERVAL_MIN_S
    next_probe_s: float = 0.0


class TargetHealth:
    """Tracks which minions get all requests, and which only probes.

    Args:
        clock: Clock that schedules probes.
    """

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._records: dict[str, _TargetRecord] = {}

    def record_result(
        self,
        target: directory.Target,
        result: messages.Served | outcome.Refused,
    ) -> bool:
        """Records the result of a request.

        Returns:
            Whether the minion was ejected or restored because of it.
        """
        record = self._record_of(target)
        is_failure = (
            isinstance(result, outcome.Refused)
            and result.kind in _FAILURE_KINDS
        )
        if is_failure:
            return self._record_failure(record)
        if not isinstance(result, messages.Served):
            return False
        is_restored = record.ejected
        record.ejected = False
        record.consecutive_failures = 0
        if is_restored:
            record.probe_interval_s = PROBE_INTERVAL_MIN_S
        return is_restored

    def is_ejected(self, target: directory.Target) -> bool:
        """Returns whether a minion is ejected because of failures."""
        return self._record_of(target).ejected

    def eligible(
        self, candidates: Sequence[directory.Target], may_probe: bool
    ) -> Sequence[directory.Target]:
        """Returns the minions that a request may be sent to.

        At least half of the minions stay eligible: when most of them fail or
        are slow, the cause is not in single minions.

        Args:
            candidates: Minions that accept new requests.
            may_probe: Whether the request may be used as a probe. If so, a
                minion whose probe is due is the only one returned. Other
                requests are used only for probes that are overdue.
        """
        unhealthy = [t for t in candidates if self.is_ejected(t)]
        unhealthy += [
            t for t in slow_targets(candidates) if not self.is_ejected(t)
        ]
        if not unhealthy:
            return candidates
        probe_target = self._take_due_probe(
            unhealthy, 0.0 if may_probe else PROBE_OVERDUE_S
        )
        if probe_target is not None:
            return [probe_target]
        healthy = [t for t in candidates if t not in unhealthy]
        if len(healthy) < MIN_ELIGIBLE_SHARE * len(candidates):
            return candidates
        return healthy

    def _take_due_probe(
        self, unhealthy: Iterable[directory.Target], overdue_s: float
    ) -> directory.Target | None:
        now = self._clock.now()
        for target in unhealthy:
            record = self._record_of(target)
            if record.next_probe_s + overdue_s <= now:
                record.next_probe_s = now + record.probe_interval_s
                if not record.ejected:
                    record.probe_interval_s = min(
                        PROBE_INTERVAL_MAX_S, 2 * record.probe_interval_s
                    )
                return target
        return None

    def _record_failure(self, record: _TargetRecord) -> bool:
        record.consecutive_failures += 1
        if record.consecutive_failures < FAILURES_TO_EJECT:
            return False
        if record.ejected:
            record.probe_interval_s = min(
                PROBE_INTERVAL_MAX_S, 2 * record.probe_interval_s
            )
        newly_ejected = not record.ejected
        if newly_ejected:
            record.probe_interval_s = PROBE_INTERVAL_MIN_S
        record.ejected = True
        record.next_probe_s = self._clock.now() + record.probe_interval_s
        return newly_ejected

    def _record_of(self, target: directory.Target) -> _TargetRecord:
        name = target.announcement.name
        record = self._records.get(name)
        if record is None or record.incarnation != target.incarnation:
            if len(self._records) >= MAX_RECORDS:
                self._records.clear()
            record = _TargetRecord(target.incarnation)
            self._records[name] = record
        return record


def slow_targets(
    candidates: Sequence[directory.Target],
) -> list[directory.Target]:
    """Returns the minions much slower than the median of the candidates."""
    if len(candidates) < MIN_PEERS:
        return []
    service_times_ms = [t.announcement.service_ms for t in candidates]
    limit_ms = SLOW_FACTOR * statistics.median(service_times_ms)
    if limit_ms <= 0:
        return []
    return [t for t in candidates if t.announcement.service_ms > limit_ms]
