"""What workers reported lately, and what ran there when it was read."""

import collections
from collections.abc import Mapping
import functools

import attrs

from pomelostair import accounting
from pomelostair import messages

MAX_SCENES = 128
MIN_LOAD = 1e-9

Key = tuple[str, int]


@attrs.frozen
class Resident:
    """A running attempt as a heartbeat showed it.

    Attributes:
        kind: Kind of its task.
        urgency: Urgency class.
        used: Reported size, the planned one before the first report.
        share: Share of full speed that it was given.
    """

    kind: str
    urgency: messages.Urgency
    used: messages.Size
    share: float


@attrs.frozen
class Scene:
    """What ran on a worker at some time."""

    at_s: float
    residents: Mapping[Key, Resident]

    @functools.cached_property
    def used(self) -> messages.Size:
        """Sum of all sizes."""
        sizes = [resident.used for resident in self.residents.values()]
        return messages.Size(
            sum(size.cores for size in sizes),
            sum(size.memory_mb for size in sizes),
            sum(size.accelerators for size in sizes),
        )

    @functools.cached_property
    def cores(self) -> Mapping[str, float]:
        """Used cores by kind."""
        found: dict[str, float] = {}
        for resident in self.residents.values():
            cores = found.get(resident.kind, 0.0) + resident.used.cores
            found[resident.kind] = cores
        return found


class WorkerReports:
    """Reports of one worker."""

    def __init__(self):
        self._scenes: collections.deque[Scene] = collections.deque(
            maxlen=MAX_SCENES
        )
        self._read: dict[Key, float] = {}
        self._full: dict[Key, messages.Size] = {}

    def take(self, scene: Scene) -> None:
        """Keeps what runs now and drops what does not."""
        self._scenes.append(scene)
        for memory in (self._read, self._full):
            for key in memory.keys() - scene.residents.keys():
                del memory[key]

    @property
    def latest(self) -> Scene | None:
        """What ran last."""
        return self._scenes[-1] if self._scenes else None

    def full(self, key: Key, used: messages.Size) -> messages.Size:
        """Returns the largest size that an attempt reported.

        Args:
            key: The attempt.
            used: Its latest report.
        """
        full = accounting.maximum(used, self._full.get(key, used))
        self._full[key] = full
        return full

    def fresh(self, key: Key, read_ms: float) -> bool:
        """Returns whether a reading is newer than the last of the attempt.

        Args:
            key: The attempt.
            read_ms: When it was read, on the worker's clock.
        """
        last = self._read.get(key)
        if last is not None and read_ms <= last:
            return False
        self._read[key] = read_ms
        return True

    def at(self, at_s: float) -> Scene | None:
        """Returns what ran when something was read, None if unknown.

        A scene counts only if the next one shows the same attempts, since
        the reading lies somewhere between the two.
        """
        for index in range(len(self._scenes) - 1, -1, -1):
            if self._scenes[index].at_s <= at_s:
                return self._settled(index)
        return None

    def _settled(self, index: int) -> Scene | None:
        scene = self._scenes[index]
        if index + 1 < len(self._scenes):
            following = self._scenes[index + 1]
            if following.residents.keys() != scene.residents.keys():
                return None
        return scene


def loads(
    scene: Scene, victim: Key, capacity: messages.Size
) -> dict[str, float]:
    """Returns shares of the cores by kind beside an attempt."""
    found = {
        kind: cores / capacity.cores for kind, cores in scene.cores.items()
    }
    own = scene.residents[victim]
    left = found[own.kind] - own.used.cores / capacity.cores
    if left > MIN_LOAD:
        found[own.kind] = left
    else:
        del found[own.kind]
    return found
