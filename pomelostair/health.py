"""Ejection of minions that fail or are slow, and their probes."""

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
MIN_LEFT_SHARE = 0.5
PROBE_MIN_S = 1.0
PROBE_MAX_S = 30.0
PROBE_PATIENCE_S = 2.0
MAX_RECORDS = 1024

_FAILURES = frozenset(
    {
        outcome.Kind.NOT_SENT,
        outcome.Kind.TARGET_FAILED,
        outcome.Kind.ANSWER_LOST,
    }
)


@attrs.define
class _Record:
    """What one minion did lately.

    Attributes:
        incarnation: Incarnation of its agent.
        failures: Failures in a row.
        ejected: Whether it gets probes only.
        pause_s: Time between probes.
        probe_at: Monotonic seconds of the next probe.
    """

    incarnation: str
    failures: int = 0
    ejected: bool = False
    pause_s: float = PROBE_MIN_S
    probe_at: float = 0.0


class Health:
    """Which minions get ordinary requests, and which only probes.

    Args:
        clock: Source of the pauses between probes.
    """

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def record(
        self,
        target: directory.Target,
        result: messages.Served | outcome.Refused,
    ) -> bool:
        """Takes over the result of a request.

        Returns:
            Whether the minion was ejected or restored by it.
        """
        record = self._record_of(target)
        failed = (
            isinstance(result, outcome.Refused) and result.kind in _FAILURES
        )
        if failed:
            return self._fail(record)
        if not isinstance(result, messages.Served):
            return False
        restored = record.ejected
        record.ejected = False
        record.failures = 0
        if restored:
            record.pause_s = PROBE_MIN_S
        return restored

    def ejected(self, target: directory.Target) -> bool:
        """Returns whether failures have ejected a minion."""
        return self._record_of(target).ejected

    def eligible(
        self, candidates: Sequence[directory.Target], may_probe: bool
    ) -> Sequence[directory.Target]:
        """Returns the minions that a request may go to.

        At least half of the minions are kept: when most fail or are slow, it
        is not a fault of some.

        Args:
            candidates: Minions that take new work.
            may_probe: Whether the request is fit to be a probe; then a minion
                whose probe is due is the only one returned. Other requests
                are used only when no fit one came for a while.
        """
        bad = [t for t in candidates if self.ejected(t)]
        bad += [t for t in slow(candidates) if not self.ejected(t)]
        if not bad:
            return candidates
        due = self._due(bad, 0.0 if may_probe else PROBE_PATIENCE_S)
        if due is not None:
            return [due]
        good = [t for t in candidates if t not in bad]
        if len(good) < MIN_LEFT_SHARE * len(candidates):
            return candidates
        return good

    def _due(
        self, bad: Iterable[directory.Target], patience_s: float
    ) -> directory.Target | None:
        now = self._clock.now()
        for target in bad:
            record = self._record_of(target)
            if record.probe_at + patience_s <= now:
                record.probe_at = now + record.pause_s
                if not record.ejected:
                    record.pause_s = min(PROBE_MAX_S, 2 * record.pause_s)
                return target
        return None

    def _fail(self, record: _Record) -> bool:
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return False
        if record.ejected:
            record.pause_s = min(PROBE_MAX_S, 2 * record.pause_s)
        newly = not record.ejected
        if newly:
            record.pause_s = PROBE_MIN_S
        record.ejected = True
        record.probe_at = self._clock.now() + record.pause_s
        return newly

    def _record_of(self, target: directory.Target) -> _Record:
        name = target.announcement.name
        record = self._records.get(name)
        if record is None or record.incarnation != target.incarnation:
            if len(self._records) >= MAX_RECORDS:
                self._records.clear()
            record = _Record(target.incarnation)
            self._records[name] = record
        return record


def slow(
    candidates: Sequence[directory.Target],
) -> list[directory.Target]:
    """Returns the minions much slower than the median of the candidates."""
    if len(candidates) < MIN_PEERS:
        return []
    times = [t.announcement.service_ms for t in candidates]
    limit = SLOW_FACTOR * statistics.median(times)
    if limit <= 0:
        return []
    return [t for t in candidates if t.announcement.service_ms > limit]
