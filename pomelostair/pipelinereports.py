"""Order of the reports of an agent, over the processes that it has had.

Reports may arrive late and out of order. One that a later report has overtaken
must be ignored, as its lists lack the attempts that have started since.
"""

import collections

import attrs

# Earlier processes of an agent that are remembered, so that their late reports
# are ignored.
MAX_FORMER_INCARNATIONS = 8
# Time for which the reports of a process that seems to be an earlier one must
# go on rising, while there are none of the current one, until they count. It
# exceeds five report intervals, and is below the duration of a grant.
SILENCE_S = 4.5


@attrs.define
class _Rival:
    """A process whose reports are ignored.

    Attributes:
        incarnation: Its incarnation.
        since_s: Monotonic time of the first ignored report since the latest
            accepted one of the current process.
        sequence: Number of its latest ignored report.
    """

    incarnation: str
    since_s: float
    sequence: int


@attrs.define
class ReportSequence:
    """Detects reports of an agent that a later report has overtaken.

    The times of day at which its processes began tell their order. Where one is
    not known, as older versions do not tell it, a process that is new to the
    leader is taken for a later one. Clocks jump and reports are late, so either
    may be wrong: a process that goes on reporting while the current one is
    silent becomes the current one.

    Attributes:
        incarnation: Incarnation of the agent's current process.
        started_ms: Unix milliseconds of that process's start, 0 if not known.
        sequence: Number of its latest accepted report.
    """

    incarnation: str = ""
    started_ms: int = 0
    sequence: int = 0
    _former: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FORMER_INCARNATIONS)
    )
    _rival: _Rival | None = None

    def accept(
        self, incarnation: str, started_ms: int, sequence: int, now: float
    ) -> bool:
        """Records a report.

        Args:
            incarnation: Incarnation of the process that sent it.
            started_ms: Unix milliseconds of its start, 0 if not known.
            sequence: Number of the report.
            now: Monotonic seconds.

        Returns:
            Whether the report counts: no later one was accepted.
        """
        if incarnation == self.incarnation:
            if sequence <= self.sequence:
                return False
        elif self._seems_earlier(incarnation, started_ms) and (
            not self._outlives_current(incarnation, sequence, now)
        ):
            return False
        else:
            if self.incarnation:
                self._former.append(self.incarnation)
            self.incarnation = incarnation
            self.started_ms = started_ms
        self.sequence = sequence
        self._rival = None
        return True

    def _seems_earlier(self, incarnation: str, started_ms: int) -> bool:
        if incarnation in self._former:
            return True
        return 0 < started_ms < self.started_ms

    def _outlives_current(
        self, incarnation: str, sequence: int, now: float
    ) -> bool:
        """Records an ignored report; returns whether its process runs alone."""
        rival = self._rival
        if rival is None or rival.incarnation != incarnation:
            self._rival = _Rival(incarnation, now, sequence)
            return False
        if sequence <= rival.sequence:
            return False
        rival.sequence = sequence
        return now - rival.since_s >= SILENCE_S
