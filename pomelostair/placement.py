"""Selection of a worker for a task.

Workers with enough free capacity are scored by the throughput that the task
adds, net of the slowdown that it causes, by the capacity that it leaves
stranded (free in one resource but not in the other), and by the spread of jobs
that must survive over racks and zones. A worker where a latency-critical task
would be slowed beyond its limit is refused.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import accounting
from pomelostair import interference as interference_module
from pomelostair import messages

# Slowdowns are ratios of run times; 1 is a task that is not slowed.
CRITICAL_SLOWDOWN_LIMIT = 1.08
CRITICAL_START_SLOWDOWN_LIMIT = 1.1
# Weight of the work that latency-critical tasks lose, relative to others.
CRITICAL_WEIGHT = 4.0
# Keeps latency-critical tasks together: added to the score of a worker that
# runs none yet.
FIRST_CRITICAL_PENALTY = 1.5
# Gains are the work gained for each core, net of the work that others lose.
FALLBACK_MIN_GAIN = 0.25
PREFERRED_MIN_GAIN = 0.7
STRANDED_WEIGHT = 0.3
FREE_CAPACITY_WEIGHT = 0.1
ZONE_SPREAD_WEIGHT = 2.0
RACK_SPREAD_WEIGHT = 1.0


class Refusal(enum.Enum):
    """Why a worker is not chosen."""

    NO_ROOM = "no room"
    AVOIDED = "the task failed there"
    CRITICAL_SLOWED = "a latency-critical task would be slowed"
    NO_GAIN = "the tasks would slow each other down"


@attrs.frozen
class Request:
    """Requirements of a task that needs a worker.

    Attributes:
        task: Id of the task.
        job: Id of its job.
        kind: Its kind.
        urgency: Its urgency class.
        size: Size that is reserved for it.
        survive: Whether its job is spread over racks and zones.
        avoided: Workers where it must not be placed.
        starved: Whether it waited so long that the gain no longer matters.
        allow_interference: Whether it may slow latency-critical tasks beyond
            their limit, or start where it would be slowed so itself.
        min_gain: Least net work gained for each core that justifies a start.
    """

    task: str
    job: str
    kind: str
    urgency: messages.Urgency
    size: messages.Size
    survive: bool = False
    avoided: frozenset[str] = frozenset()
    starved: bool = False
    allow_interference: bool = False
    min_gain: float = FALLBACK_MIN_GAIN

    @property
    def critical(self) -> bool:
        """Whether it is latency-critical."""
        return self.urgency is messages.Urgency.CRITICAL


@attrs.define
class KindLoad:
    """Load of all tasks of a kind on one worker.

    Attributes:
        cores: Cores that are assigned to them.
        count: Number of tasks.
        critical: Number of latency-critical ones among them.
    """

    cores: float = 0.0
    count: int = 0
    critical: int = 0


@attrs.define
class Host:
    """A worker that accepts tasks, as seen during one round.

    Attributes:
        account: Its capacity and what is assigned to it.
        loads_by_kind: Load of its tasks by kind.
        jobs: Number of its tasks by job id, of jobs that must survive.
    """

    account: accounting.Account
    loads_by_kind: dict[str, KindLoad] = attrs.field(factory=dict)
    jobs: dict[str, int] = attrs.field(factory=dict)

    def add(self, request: Request) -> None:
        """Assigns a task to the worker."""
        self.account.assign(request.task, request.size)
        kind_load = self.loads_by_kind.setdefault(request.kind, KindLoad())
        kind_load.cores += request.size.cores
        kind_load.count += 1
        kind_load.critical += request.critical
        if request.survive:
            self.jobs[request.job] = self.jobs.get(request.job, 0) + 1

    def remove(self, request: Request) -> None:
        """Removes a task that was added."""
        self.account.release(request.task)
        kind_load = self.loads_by_kind[request.kind]
        kind_load.cores -= request.size.cores
        kind_load.count -= 1
        kind_load.critical -= request.critical
        if not kind_load.count:
            del self.loads_by_kind[request.kind]
        if request.survive:
            self.jobs[request.job] -= 1

    @property
    def critical(self) -> bool:
        """Whether a latency-critical task runs on the worker."""
        return any(r.critical for r in self.loads_by_kind.values())

    def core_shares(self, excluded_kind: str = "") -> dict[str, float]:
        """Returns the shares of the worker's cores that each kind holds.

        Args:
            excluded_kind: Kind of which one average task is left out.
        """
        cores = self.account.capacity.cores
        core_shares = {
            k: r.cores / cores for k, r in self.loads_by_kind.items()
        }
        if excluded_kind in core_shares:
            core_shares[excluded_kind] *= (
                1 - 1 / self.loads_by_kind[excluded_kind].count
            )
        return core_shares


@attrs.frozen
class ScoredHost:
    """Score of a worker, lower is better, or why it is refused."""

    worker: str
    score: float
    refusal: Refusal | None = None


@attrs.frozen
class Choice:
    """The selected worker, None for none, and the scores of all."""

    host: Host | None
    scored: tuple[ScoredHost, ...]


class WorkerSelector:
    """Selects workers during one round.

    Args:
        hosts: Workers that accept new tasks.
        interference: Learned interference between kinds of tasks.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        hosts: Iterable[Host],
        interference: interference_module.InterferenceModel,
        now: float,
    ):
        self._hosts = tuple(hosts)
        self._interference = interference
        self._now = now

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Workers that accept new tasks."""
        return self._hosts

    def choose(self, request: Request) -> Choice:
        """Returns the best worker for a task, without assigning the task."""
        spread = _tasks_above_min(request, self._hosts)
        best: Host | None = None
        best_score = 0.0
        scored = []
        for host in self._hosts:
            scored_host = self._score(request, host, spread)
            scored.append(scored_host)
            if scored_host.refusal is None and (
                best is None or scored_host.score < best_score
            ):
                best, best_score = host, scored_host.score
        return Choice(best, tuple(scored))

    def _score(
        self, request: Request, host: Host, spread: dict[str, int]
    ) -> ScoredHost:
        account = host.account
        refusal = None
        score = 0.0
        if account.worker in request.avoided:
            refusal = Refusal.AVOIDED
        elif not accounting.fits(request.size, account.free):
            refusal = Refusal.NO_ROOM
        else:
            gain, critical_slowed = self._gain_and_slowdown(request, host)
            refusal = _refusal(request, gain, critical_slowed)
            score = -gain + _stranding_score(request.size, account)
            score += _colocation_penalty(host, request, spread)
            if request.critical and not host.critical:
                score += FIRST_CRITICAL_PENALTY
        return ScoredHost(account.worker, score, refusal)

    def _gain_and_slowdown(
        self, request: Request, host: Host
    ) -> tuple[float, bool]:
        """Returns the effect of placing a task on a worker.

        Returns:
            The net work gained for each core, and whether a latency-critical
            task would be slowed beyond its limit.
        """
        own_slowdown = self._interference.slowdown(
            request.kind, host.core_shares(), self._now
        )
        core_share = request.size.cores / host.account.capacity.cores
        lost_work = 0.0
        critical_slowed = (
            request.critical and own_slowdown > CRITICAL_START_SLOWDOWN_LIMIT
        )
        for kind, kind_load in host.loads_by_kind.items():
            factor = self._interference.factor(kind, request.kind, self._now)
            if factor <= 0:
                continue
            before = self._interference.slowdown(
                kind, host.core_shares(kind), self._now
            )
            after = before + factor * core_share
            weight = CRITICAL_WEIGHT if kind_load.critical else 1.0
            lost_work += weight * kind_load.cores * (1 / before - 1 / after)
            if kind_load.critical and after > CRITICAL_SLOWDOWN_LIMIT:
                critical_slowed = True
        gain = 1 / own_slowdown - lost_work / max(request.size.cores, 1e-6)
        return gain, critical_slowed


def _refusal(
    request: Request, gain: float, critical_slowed: bool
) -> Refusal | None:
    """Returns why a worker with room is refused, None if it is not.

    Urgent tasks start without regard to interference.
    """
    if request.urgency is messages.Urgency.URGENT:
        return None
    if critical_slowed and not request.allow_interference:
        return Refusal.CRITICAL_SLOWED
    if request.starved or request.critical:
        return None
    if gain < request.min_gain:
        return Refusal.NO_GAIN
    return None


def _stranding_score(size: messages.Size, account: accounting.Account) -> float:
    """Returns the weighted capacity that is left stranded or free.

    Accelerators are stranded by a task that uses none.
    """
    free = account.free
    capacity = account.capacity
    cores = free.cores / capacity.cores
    memory = free.memory_mb / capacity.memory_mb
    cores_left = cores - size.cores / capacity.cores
    memory_left = memory - size.memory_mb / capacity.memory_mb
    added = abs(cores_left - memory_left) - abs(cores - memory)
    stranded = STRANDED_WEIGHT * added
    if not size.accelerators and free.accelerators > 0:
        stranded += STRANDED_WEIGHT
    return stranded + FREE_CAPACITY_WEIGHT * (cores_left + memory_left)


def _tasks_above_min(
    request: Request, hosts: tuple[Host, ...]
) -> dict[str, int]:
    """Returns the job's tasks by zone and rack, less the minimum of each."""
    zones: dict[str, int] = {}
    racks: dict[str, int] = {}
    if not request.survive:
        return {}
    for host in hosts:
        job_tasks = host.jobs.get(request.job, 0)
        zone, rack = _failure_domains(host)
        zones[zone] = zones.get(zone, 0) + job_tasks
        racks[rack] = racks.get(rack, 0) + job_tasks
    return {**_above_min(zones), **_above_min(racks)}


def _failure_domains(host: Host) -> tuple[str, str]:
    account = host.account
    return f"zone {account.zone}", f"rack {account.zone}/{account.rack}"


def _above_min(counts: dict[str, int]) -> dict[str, int]:
    minimum = min(counts.values(), default=0)
    return {domain: count - minimum for domain, count in counts.items()}


def _colocation_penalty(
    host: Host, request: Request, spread: dict[str, int]
) -> float:
    if not request.survive:
        return 0.0
    zone, rack = _failure_domains(host)
    return ZONE_SPREAD_WEIGHT * spread[zone] + RACK_SPREAD_WEIGHT * spread[rack]
