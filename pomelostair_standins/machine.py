"""Model of a worker: runs attempts under leases, with their actual usage.

It starts every attempt that is ordered. Load beyond its capacity slows down all
attempts; kinds of tasks slow each other down by a configurable interference
matrix. Usage reports are delayed by a configurable lag.
"""

import collections

import attrs

from pomelostair import messages
from pomelostair import workerclient

RUNNING = "running"
MAX_USAGE_SAMPLES = 400
MAX_HISTORY_ROWS = 200_000


@attrs.frozen
class KindBehaviour:
    """Actual behaviour of a kind of task, relative to its declaration.

    Attributes:
        cores: Ratio of used to declared cores.
        memory: Ratio of used to declared memory.
        run: Ratio of the run time without interference to the declared one.
        fails: Whether every attempt fails.
    """

    cores: float = 1.0
    memory: float = 1.0
    run: float = 1.0
    fails: bool = False


@attrs.frozen
class Behaviour:
    """Configurable behaviour of a worker, decoded from JSON.

    Attributes:
        capacity: Total use beyond which all attempts slow down.
        kinds: Actual behaviour by kind of task.
        interference: Slowdown added to a kind (outer key) when another kind
            (inner key) uses all cores.
        lag_ms: Age of the usage that reports show, in milliseconds.
        fail_all: Whether every attempt fails.
    """

    capacity: messages.Size = messages.Size(32.0, 125_000, 0)
    kinds: dict[str, KindBehaviour] = attrs.field(factory=dict)
    interference: dict[str, dict[str, float]] = attrs.field(factory=dict)
    lag_ms: float = 0.0
    fail_all: bool = False


@attrs.frozen
class UsageSample:
    """Usage of an attempt at one time, as shown in reports."""

    at_ms: float
    used: messages.Size
    slowdown: float


@attrs.frozen
class HistoryRow:
    """The start or end of an attempt on this worker.

    Attributes:
        at_s: Monotonic clock of the host in seconds, comparable between its
            processes.
        action: `start`, or the state that the attempt ended in.
        task: Id of the task.
        attempt: Number of the attempt.
        progress: Progress at that time.
        reserved: Size reserved for it by the order.
        sequence: Sequence number of the row on this worker.
    """

    at_s: float
    action: str
    task: str
    attempt: int
    progress: float
    reserved: messages.Size
    sequence: int


@attrs.define
class Run:
    """One attempt on this worker."""

    order: messages.StartOrder
    progress: float
    expires_ms: float
    used: messages.Size
    state: str = RUNNING
    detail: str = ""
    share: float = 1.0
    paused: bool = False
    slowdown: float = 1.0
    work_s: float = 0.0
    slow_s: float = 0.0
    ran_s: float = 0.0
    usage_samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_USAGE_SAMPLES)
    )


class Machine:
    """The attempts of one worker.

    Args:
        behaviour: Initial behaviour.
        boot: Boot id; differs after each restart of the worker.
    """

    def __init__(self, behaviour: Behaviour, boot: str = "boot"):
        self._behaviour = behaviour
        self._boot = boot
        self._runs: dict[tuple[str, int], Run] = {}
        self._history: list[HistoryRow] = []
        self._now_ms = 0.0
        self._shared_clock_s = 0.0
        self._peak_utilization = 0.0

    @property
    def behaviour(self) -> Behaviour:
        """The current behaviour."""
        return self._behaviour

    @behaviour.setter
    def behaviour(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour

    @property
    def history(self) -> list[HistoryRow]:
        """Starts and ends in order, up to `MAX_HISTORY_ROWS`."""
        return self._history

    @property
    def runs(self) -> dict[tuple[str, int], Run]:
        """Attempts by task and number; ended ones stay until `forget`."""
        return self._runs

    @property
    def peak_utilization(self) -> float:
        """Highest ratio of use to capacity so far."""
        return self._peak_utilization

    def advance(self, now_ms: float, at_s: float) -> None:
        """Advances all attempts to a time on the worker's clock.

        Args:
            now_ms: Time on the worker's clock, in milliseconds.
            at_s: Monotonic clock of the host, in seconds.
        """
        seconds = max(0.0, now_ms - self._now_ms) / 1000
        self._now_ms = now_ms
        self._shared_clock_s = at_s
        active = [run for run in self._runs.values() if run.state == RUNNING]
        self._set_speeds(active)
        for run in active:
            self._advance(run, seconds)

    def status(self) -> workerclient.Status:
        """Returns the clock and the attempts, with usage as of `lag_ms` ago.

        Call `advance` first, so that the clock is current.
        """
        return workerclient.Status(
            self._now_ms,
            tuple(self._report(run) for run in self._runs.values()),
            self._boot,
        )

    def start(self, start: workerclient.Start) -> None:
        """Starts an attempt, even if it exceeds the capacity.

        A known attempt or an expired lease is ignored.
        """
        order = start.order
        key = (order.task, order.attempt)
        if key in self._runs or self._now_ms >= start.expires_ms:
            return
        run = Run(
            order, start.progress, start.expires_ms, self._actual_size(order)
        )
        self._runs[key] = run
        self._record(run, "start")
        if self._behaviour.fail_all or self._kind_behaviour(order.kind).fails:
            self._end(run, messages.TaskEnd.FAILED, "exit status 1")

    def renew(self, renewal: workerclient.Renewal) -> None:
        """Extends a lease unless it has expired already."""
        run = self._find(renewal.task, renewal.attempt)
        if run is not None and self._now_ms < run.expires_ms:
            run.expires_ms = max(run.expires_ms, renewal.expires_ms)

    def checkpoint(
        self, attempt: workerclient.Attempt
    ) -> workerclient.Checkpoint | None:
        """Pauses an attempt and returns its checkpoint.

        Returns:
            The checkpoint; None if the attempt is not running.
        """
        run = self._find(attempt.task, attempt.attempt)
        if run is None:
            return None
        run.paused = True
        return workerclient.Checkpoint(run.progress)

    def throttle(self, throttle: workerclient.Throttle) -> None:
        """Sets the speed of an attempt and resumes it if it is paused."""
        run = self._find(throttle.task, throttle.attempt)
        if run is not None:
            run.share = throttle.share
            run.paused = False

    def stop(self, stop: workerclient.Stop) -> None:
        """Ends a running attempt."""
        run = self._find(stop.task, stop.attempt)
        if run is not None:
            self._end(run, stop.end, stop.detail)

    def forget(self, attempt: workerclient.Attempt) -> None:
        """Removes an ended attempt."""
        run = self._runs.get((attempt.task, attempt.attempt))
        if run is not None and run.state != RUNNING:
            del self._runs[attempt.task, attempt.attempt]

    def used(self) -> messages.Size:
        """Returns the current total use of all running attempts."""
        sizes = [
            _scale(run.used, run.share)
            for run in self._runs.values()
            if run.state == RUNNING
        ]
        return messages.Size(
            sum(s.cores for s in sizes),
            sum(s.memory_mb for s in sizes),
            sum(s.accelerators for s in sizes),
        )

    def _set_speeds(self, active: list[Run]) -> None:
        capacity = self._behaviour.capacity
        used = self.used()
        overload = max(
            1.0,
            used.cores / capacity.cores,
            used.memory_mb / capacity.memory_mb,
        )
        self._peak_utilization = max(
            self._peak_utilization,
            used.cores / capacity.cores,
            used.memory_mb / capacity.memory_mb,
        )
        loads: dict[str, float] = {}
        for run in active:
            load = run.used.cores * run.share / capacity.cores
            loads[run.order.kind] = loads.get(run.order.kind, 0.0) + load
        for run in active:
            run.slowdown = overload * (1 + self._interference(run, loads))
            run.usage_samples.append(
                UsageSample(
                    self._now_ms, _scale(run.used, run.share), run.slowdown
                )
            )

    def _interference(self, run: Run, loads: dict[str, float]) -> float:
        factors = self._behaviour.interference.get(run.order.kind, {})
        own_load = run.used.cores * run.share / self._behaviour.capacity.cores
        return sum(
            factor
            * (loads.get(kind, 0.0) - own_load * (kind == run.order.kind))
            for kind, factor in factors.items()
        )

    def _advance(self, run: Run, seconds: float) -> None:
        if self._now_ms >= run.expires_ms:
            self._end(run, messages.TaskEnd.LAPSED, "lease lapsed")
            return
        if run.paused:
            return
        run.ran_s += seconds
        run.slow_s += seconds * run.slowdown
        if run.order.run_s == 0:
            return
        length_s = run.order.run_s * self._kind_behaviour(run.order.kind).run
        progress_step = run.share * seconds / run.slowdown / length_s
        run.work_s += progress_step * length_s
        run.progress += progress_step
        if run.progress >= 1:
            run.progress = 1.0
            self._end(run, messages.TaskEnd.COMPLETED, "")

    def _end(self, run: Run, end: messages.TaskEnd, detail: str) -> None:
        run.state = end.value
        run.detail = detail
        self._record(run, end.value)

    def _record(self, run: Run, action: str) -> None:
        if len(self._history) < MAX_HISTORY_ROWS:
            self._history.append(
                HistoryRow(
                    self._shared_clock_s,
                    action,
                    run.order.task,
                    run.order.attempt,
                    run.progress,
                    run.order.reserved or run.order.size,
                    len(self._history),
                )
            )

    def _report(self, run: Run) -> workerclient.WorkerTask:
        newest_visible_ms = self._now_ms - self._behaviour.lag_ms
        reading = None
        for candidate in reversed(run.usage_samples):
            if candidate.at_ms <= newest_visible_ms:
                reading = candidate
                break
        return workerclient.WorkerTask(
            task=run.order.task,
            attempt=run.order.attempt,
            state=run.state,
            detail=run.detail,
            progress=run.progress,
            used=messages.Size(0.0, 0, 0) if reading is None else reading.used,
            slowdown=1.0 if reading is None else reading.slowdown,
            read_ms=None if reading is None else reading.at_ms,
            order=run.order,
        )

    def _find(self, task: str, attempt: int) -> Run | None:
        run = self._runs.get((task, attempt))
        if run is None or run.state != RUNNING:
            return None
        return run

    def _kind_behaviour(self, kind: str) -> KindBehaviour:
        return self._behaviour.kinds.get(kind, KindBehaviour())

    def _actual_size(self, order: messages.StartOrder) -> messages.Size:
        actual = self._kind_behaviour(order.kind)
        return messages.Size(
            order.size.cores * actual.cores,
            int(order.size.memory_mb * actual.memory),
            order.size.accelerators,
        )


def _scale(size: messages.Size, share: float) -> messages.Size:
    return messages.Size(size.cores * share, size.memory_mb, size.accelerators)
