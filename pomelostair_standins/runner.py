"""Stand-in for a worker of the users' platform: runs, leases and ends.

It keeps the platform's rules on fences, numbers of runs and leases, without
any input or output; `runnerhttp` serves it.
"""

import attrs

STOP_GRACE_MS = 100


@attrs.define
class Run:
    """A run that the worker has started.

    Attributes:
        task: Id of the task.
        number: Number of the run.
        left_ms: Work that is left.
        whole_ms: Work of the whole task.
        lasting: Whether it runs until it is stopped.
        fails: Whether it fails once its work is done.
        pace: Share in percent at which it may work.
        stopping_ms: Clock at which a stop takes effect, 0 for none.
    """

    task: str
    number: int
    left_ms: float
    whole_ms: float
    lasting: bool = False
    fails: bool = False
    pace: int = 100
    stopping_ms: float = 0.0


@attrs.frozen
class Ended:
    """An end that is listed until it is noted."""

    number: int
    task: str
    run: int
    how: str
    saved: str


class Runner:
    """One life of a worker.

    Args:
        born_ms: Unix milliseconds of its start.
        work_ms: Work of a task; tests may change it.
        hold_max_ms: Longest lease.
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
        self.clock_ms = 1.0
        self.runs: dict[str, Run] = {}
        self.ended: list[Ended] = []
        self.started: list[tuple[str, int, float]] = []
        self._until_ms = 0.0
        self._fence = 0
        self._highest: dict[str, int] = {}
        self._count = 0

    def advance(self, milliseconds: float) -> None:
        """Lets time pass, and work go on."""
        self.clock_ms += milliseconds
        for run in list(self.runs.values()):
            if run.stopping_ms and self.clock_ms >= run.stopping_ms:
                self._end(run, "stopped")
            elif self.clock_ms > self._until_ms:
                self._end(run, "lapsed")
            elif not self.hung and not run.lasting:
                run.left_ms -= milliseconds * run.pace / 100
                if run.left_ms <= 0:
                    self._end(run, "failed" if run.fails else "done")

    def hold(
        self, fence: int, noted: int, until_ms: float | None
    ) -> str | None:
        """Extends the lease and forgets noted ends; returns why not."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self.ended = [e for e in self.ended if e.number > noted]
        if until_ms is not None:
            self._extend(until_ms)
        return None

    def start(
        self, task: str, number: int, until_ms: float, fence: int
    ) -> str | None:
        """Starts a run; returns why not."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        found = self.runs.get(task)
        if found is not None and found.number == number:
            return None
        if number <= self._highest.get(task, 0) or found is not None:
            return "old"
        if until_ms <= self.clock_ms:
            return "late"
        self._extend(until_ms)
        self.runs[task] = Run(
            task,
            number,
            self.work_ms,
            self.work_ms,
            self.lasting,
            self.failing,
        )
        self.started.append((task, number, self.clock_ms))
        return None

    def stop(self, task: str, number: int, fence: int) -> str | None:
        """Stops a run, or bars its number; returns why not."""
        if fence < self._fence:
            return "fence"
        self._fence = fence
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stopping_ms = run.stopping_ms or (self.clock_ms + STOP_GRACE_MS)
        return None

    def pace(
        self, task: str, number: int, percent: int, fence: int
    ) -> str | None:
        """Sets the pace of a run; returns why not."""
        if fence < self._fence:
            return "fence"
        run = self.runs.get(task)
        if run is None or run.number != number:
            return "old"
        run.pace = percent
        return None

    def running_rows(self) -> list[tuple[str, int, str, int, int]]:
        """Returns the runs as the platform lists them."""
        return [
            (run.task, run.number, "", self._percent(run), 500)
            for run in self.runs.values()
        ]

    def ended_rows(self) -> list[tuple[int, str, int, str, str]]:
        """Returns the ends as the platform lists them."""
        return [attrs.astuple(ended) for ended in self.ended]

    def _percent(self, run: Run) -> int:
        if run.lasting:
            return 0 if self.hung else 100
        return int(100 * (1 - run.left_ms / run.whole_ms))

    def _extend(self, until_ms: float) -> None:
        wanted = min(until_ms, self.clock_ms + self.hold_max_ms)
        self._until_ms = max(self._until_ms, wanted)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._count += 1
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        saved = f"saved-{run.number}" if how == "stopped" else ""
        self.ended.append(Ended(self._count, run.task, run.number, how, saved))
