"""Model of a worker of the users' platform: runs, leases and ended runs.

Follows the platform's rules on fencing tokens, run numbers and leases. It does
no I/O; `runnerhttp` serves it over HTTP.
"""

import math

import attrs

STOP_GRACE_MS = 100
# Time from the start of a deadly task to the crash of its worker.
CRASH_DELAY_MS = 10
# Most ends in one list; further ones follow once these are acknowledged.
MAX_LISTED_ENDS = 500


@attrs.define
class Run:
    """A run that the worker has started.

    Attributes:
        task: Id of the task.
        number: Number of the run, growing for each task.
        left_ms: Work that remains, in milliseconds at full pace.
        total_ms: Work of the whole run, in the same unit.
        lasting: Whether it runs until it is stopped.
        fails: Whether it fails when its work is complete.
        pace: Speed at which it may work, in percent.
        stopping_ms: Time on the worker's clock at which a requested stop takes
            effect, 0 if none was requested.
    """

    task: str
    number: int
    left_ms: float
    total_ms: float
    lasting: bool = False
    fails: bool = False
    pace: int = 100
    stopping_ms: float = 0.0


@attrs.frozen
class Ended:
    """An ended run, which is listed until the agent acknowledges it.

    Attributes:
        number: Sequence number of the end on this worker.
        task: Id of the task.
        run: Number of the run.
        how: `done`, `failed`, `stopped` or `lapsed`.
        saved: Name of the checkpoint of a stopped run, else empty.
    """

    number: int
    task: str
    run: int
    how: str
    saved: str


class Runner:
    """One incarnation of a worker.

    Args:
        born_ms: Start of the worker in Unix milliseconds; identifies the
            incarnation.
        work_ms: Work of each new run, in milliseconds at full pace; tests may
            change it.
        hold_max_ms: Longest lease, in milliseconds.
    """

    def __init__(
        self, born_ms: int, work_ms: float = 300.0, hold_max_ms: float = 6000.0
    ):
        self.born_ms = born_ms
        self.work_ms = work_ms
        self.hold_max_ms = hold_max_ms
        self.lasting = False
        self.failing = False
        self.hung = False
        # Ids of the tasks that crash a worker when it starts them.
        self.deadly: set[str] = set()
        self.crashed = False
        self.max_listed_ends = MAX_LISTED_ENDS
        self.clock_ms = 1.0
        self.runs: dict[str, Run] = {}
        self.ended: list[Ended] = []
        self.started: list[tuple[str, int, float]] = []
        self._lease_end_ms = 0.0
        self._fence = 0
        self._highest_numbers: dict[str, int] = {}
        self._end_count = 0
        self._crash_ms = math.inf

    def advance(self, milliseconds: float) -> None:
        """Advances the clock and the runs."""
        if self.crashed:
            return
        self.clock_ms += milliseconds
        if self.clock_ms >= self._crash_ms:
            self.crashed = True
            return
        for run in list(self.runs.values()):
            if run.stopping_ms and self.clock_ms >= run.stopping_ms:
                self._end(run, "stopped")
            elif self.clock_ms > self._lease_end_ms:
                self._end(run, "lapsed")
            elif not self.hung and not run.lasting:
                run.left_ms -= milliseconds * run.pace / 100
                if run.left_ms <= 0:
                    self._end(run, "failed" if run.fails else "done")

    def hold(
        self, fence: int, acknowledged: int, until_ms: float | None
    ) -> str | None:
        """Extends the lease and drops acknowledged ends.

        Args:
            fence: Fencing token of the sender.
            acknowledged: Sequence number up to which ends are acknowledged.
            until_ms: Requested end of the lease, None to leave it unchanged.

        Returns:
            Reason of a rejection, None if the call was applied.
        """
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self.ended = [e for e in self.ended if e.number > acknowledged]
        if until_ms is not None:
            self._extend_lease(until_ms)
        return None

    def start(
        self, task: str, number: int, until_ms: float, fence: int
    ) -> str | None:
        """Starts a run; returns the reason of a rejection or None."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return None
        if number <= self._highest_numbers.get(task, 0) or current is not None:
            return "old"
        if until_ms <= self.clock_ms:
            return "late"
        self._extend_lease(until_ms)
        self.runs[task] = Run(
            task,
            number,
            self.work_ms,
            self.work_ms,
            self.lasting,
            self.failing,
        )
        self.started.append((task, number, self.clock_ms))
        if task in self.deadly:
            self._crash_ms = min(self._crash_ms, self.clock_ms + CRASH_DELAY_MS)
        return None

    def crash(self) -> None:
        """Crashes the worker at the next advance of its clock."""
        self._crash_ms = self.clock_ms

    def stop(self, task: str, number: int, fence: int) -> str | None:
        """Stops a run and fences off its number.

        A start with this or a lower number is rejected from now on, also if
        the run has not started yet.

        Returns:
            Reason of a rejection, None if the call was applied.
        """
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._highest_numbers[task] = max(
            self._highest_numbers.get(task, 0), number
        )
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stopping_ms = run.stopping_ms or (self.clock_ms + STOP_GRACE_MS)
        return None

    def pace(
        self, task: str, number: int, percent: int, fence: int
    ) -> str | None:
        """Sets the pace of a run; returns the reason of a rejection or None."""
        if fence < self._fence:
            return "fence"
        run = self.runs.get(task)
        if run is None or run.number != number:
            return "old"
        run.pace = percent
        return None

    def running_rows(self) -> list[tuple[str, int, str, int, int]]:
        """Returns the active runs in the platform's format."""
        return [
            (run.task, run.number, "", self._percent(run), 500)
            for run in self.runs.values()
        ]

    def ended_rows(self) -> list[tuple[int, str, int, str, str]]:
        """Returns the oldest unacknowledged ends in the platform's format."""
        return [
            attrs.astuple(ended) for ended in self.ended[: self.max_listed_ends]
        ]

    def _percent(self, run: Run) -> int:
        if run.lasting:
            return 0 if self.hung else 100
        return int(100 * (1 - run.left_ms / run.total_ms))

    def _extend_lease(self, until_ms: float) -> None:
        lease_end_ms = min(until_ms, self.clock_ms + self.hold_max_ms)
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._end_count += 1
        self._highest_numbers[run.task] = max(
            self._highest_numbers.get(run.task, 0), run.number
        )
        saved = f"saved-{run.number}" if how == "stopped" else ""
        self.ended.append(
            Ended(self._end_count, run.task, run.number, how, saved)
        )
