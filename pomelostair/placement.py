"""Choice of a worker for a task.

Among the workers with room, the one wins where the task adds most to the work
that the worker gets done, with little left stranded in one resource, far from
the other tasks of a job that must survive. A worker where a latency-critical
task would suffer takes no more batch.
"""

from collections.abc import Iterable
import enum

import attrs

from pomelostair import interference as interference_module
from pomelostair import ledger
from pomelostair import messages

CRITICAL_SLOWDOWN_LIMIT = 1.08
CRITICAL_START_LIMIT = 1.1
CRITICAL_WEIGHT = 4.0
OPENING_WEIGHT = 1.5
MIN_GAIN = 0.25
GOOD_GAIN = 0.7
STRANDED_WEIGHT = 0.3
FREE_WEIGHT = 0.1
ZONE_WEIGHT = 2.0
RACK_WEIGHT = 1.0


class Refusal(enum.Enum):
    """Why a worker is not chosen."""

    NO_ROOM = "no room"
    AVOIDED = "the task failed there"
    CRITICAL_SUFFERS = "a latency-critical task would suffer"
    NO_GAIN = "the tasks would slow each other down"


@attrs.frozen
class Request:
    """A task that needs a worker.

    Attributes:
        task: Id of the task.
        job: Id of its job.
        kind: Its kind.
        urgency: Its urgency class.
        size: Size to plan with.
        survive: Whether its job is spread over racks and zones.
        avoided: Workers where it failed.
        starved: Whether it waited so long that its own slowdown no longer
            counts.
        noisy: Whether it may disturb, or stand, what it should not.
        min_gain: Least work gained for each core that justifies a start.
    """

    task: str
    job: str
    kind: str
    urgency: messages.Urgency
    size: messages.Size
    survive: bool = False
    avoided: frozenset[str] = frozenset()
    starved: bool = False
    noisy: bool = False
    min_gain: float = MIN_GAIN

    @property
    def critical(self) -> bool:
        """Whether it is latency-critical."""
        return self.urgency is messages.Urgency.CRITICAL


@attrs.define
class Resident:
    """All tasks of a kind on one worker.

    Attributes:
        cores: Cores that they hold.
        count: Number of tasks.
        critical: Number of latency-critical ones among them.
    """

    cores: float = 0.0
    count: int = 0
    critical: int = 0


@attrs.define
class Host:
    """A worker that takes tasks, during one round.

    Attributes:
        account: What it holds.
        residents: Its tasks by kind.
        jobs: Number of its tasks by job, of jobs that must survive.
    """

    account: ledger.Account
    residents: dict[str, Resident] = attrs.field(factory=dict)
    jobs: dict[str, int] = attrs.field(factory=dict)

    def add(self, request: Request) -> None:
        """Takes a task in."""
        self.account.assign(request.task, request.size)
        resident = self.residents.setdefault(request.kind, Resident())
        resident.cores += request.size.cores
        resident.count += 1
        resident.critical += request.critical
        if request.survive:
            self.jobs[request.job] = self.jobs.get(request.job, 0) + 1

    def remove(self, request: Request) -> None:
        """Takes out a task that was added."""
        self.account.release(request.task)
        resident = self.residents[request.kind]
        resident.cores -= request.size.cores
        resident.count -= 1
        resident.critical -= request.critical
        if not resident.count:
            del self.residents[request.kind]
        if request.survive:
            self.jobs[request.job] -= 1

    @property
    def critical(self) -> bool:
        """Whether a latency-critical task runs there."""
        return any(r.critical for r in self.residents.values())

    def loads(self, without: str = "") -> dict[str, float]:
        """Returns shares of the cores by kind.

        Args:
            without: Kind of which one task is left out.
        """
        cores = self.account.capacity.cores
        loads = {k: r.cores / cores for k, r in self.residents.items()}
        if without in loads:
            loads[without] *= 1 - 1 / self.residents[without].count
        return loads


@attrs.frozen
class Scored:
    """A worker with its score, lower is better, or why it has none."""

    worker: str
    score: float
    refusal: Refusal | None = None


@attrs.frozen
class Choice:
    """The chosen worker, None for none, and how all were scored."""

    host: Host | None
    scored: tuple[Scored, ...]


class Placement:
    """Chooses workers during one round.

    Args:
        hosts: The workers that take new tasks.
        interference: Learned factors.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        hosts: Iterable[Host],
        interference: interference_module.Interference,
        now: float,
    ):
        self._hosts = tuple(hosts)
        self._interference = interference
        self._now = now

    @property
    def hosts(self) -> tuple[Host, ...]:
        """The workers that take new tasks."""
        return self._hosts

    def choose(self, request: Request) -> Choice:
        """Returns the best worker for a task, which does not take it yet."""
        spread = _spread(request, self._hosts)
        best: Host | None = None
        best_score = 0.0
        scored = []
        for host in self._hosts:
            found = self._score(request, host, spread)
            scored.append(found)
            if found.refusal is None and (
                best is None or found.score < best_score
            ):
                best, best_score = host, found.score
        return Choice(best, tuple(scored))

    def _score(
        self, request: Request, host: Host, spread: dict[str, int]
    ) -> Scored:
        account = host.account
        refusal = None
        score = 0.0
        if account.worker in request.avoided:
            refusal = Refusal.AVOIDED
        elif not ledger.fits(request.size, account.free):
            refusal = Refusal.NO_ROOM
        else:
            gain, suffering = self._effect(request, host)
            refusal = _objection(request, gain, suffering)
            score = -gain + _stranded(request.size, account)
            score += _crowding(host, request, spread)
            if request.critical and not host.critical:
                score += OPENING_WEIGHT
        return Scored(account.worker, score, refusal)

    def _effect(self, request: Request, host: Host) -> tuple[float, bool]:
        """Returns the work gained for each core, and whether any suffers."""
        own = self._interference.slowdown(request.kind, host.loads(), self._now)
        load = request.size.cores / host.account.capacity.cores
        lost = 0.0
        suffering = request.critical and own > CRITICAL_START_LIMIT
        for kind, resident in host.residents.items():
            factor = self._interference.factor(kind, request.kind, self._now)
            if factor <= 0:
                continue
            before = self._interference.slowdown(
                kind, host.loads(kind), self._now
            )
            after = before + factor * load
            weight = CRITICAL_WEIGHT if resident.critical else 1.0
            lost += weight * resident.cores * (1 / before - 1 / after)
            if resident.critical and after > CRITICAL_SLOWDOWN_LIMIT:
                suffering = True
        gain = 1 / own - lost / max(request.size.cores, 1e-6)
        return gain, suffering


def _objection(
    request: Request, gain: float, suffering: bool
) -> Refusal | None:
    if request.urgency is messages.Urgency.URGENT:
        return None
    if suffering and not request.noisy:
        return Refusal.CRITICAL_SUFFERS
    if request.starved or request.critical:
        return None
    if gain < request.min_gain:
        return Refusal.NO_GAIN
    return None


def _stranded(size: messages.Size, account: ledger.Account) -> float:
    """Returns how much more is stranded, and how much stays free."""
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
    return stranded + FREE_WEIGHT * (cores_left + memory_left)


def _spread(request: Request, hosts: tuple[Host, ...]) -> dict[str, int]:
    """Returns the tasks of the job beyond the least, by zone and rack."""
    zones: dict[str, int] = {}
    racks: dict[str, int] = {}
    if not request.survive:
        return {}
    for host in hosts:
        held = host.jobs.get(request.job, 0)
        zone, rack = _places(host)
        zones[zone] = zones.get(zone, 0) + held
        racks[rack] = racks.get(rack, 0) + held
    return {**_beyond_least(zones), **_beyond_least(racks)}


def _places(host: Host) -> tuple[str, str]:
    account = host.account
    return f"zone {account.zone}", f"rack {account.zone}/{account.rack}"


def _beyond_least(counts: dict[str, int]) -> dict[str, int]:
    least = min(counts.values(), default=0)
    return {place: count - least for place, count in counts.items()}


def _crowding(host: Host, request: Request, spread: dict[str, int]) -> float:
    if not request.survive:
        return 0.0
    zone, rack = _places(host)
    return ZONE_WEIGHT * spread[zone] + RACK_WEIGHT * spread[rack]
