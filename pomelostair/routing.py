"""Choice of a minion for a request."""

from collections.abc import Sequence
import random as random_module

import attrs

from pomelostair import directory
from pomelostair import messages

ZONE_HOP_MS = 3.0
LOAD_WEIGHT = 1.0
SAMPLE = 2
ROOM_SHARE = 0.1
MIN_SERVICE_MS = 0.1


@attrs.frozen
class Viewpoint:
    """The entry that chooses.

    Attributes:
        zone: Its availability zone.
        entries: Number of entries that send to the same minions.
    """

    zone: str
    entries: int = 1


def expected_ms(
    target: directory.Target,
    urgency: messages.Urgency,
    viewpoint: Viewpoint,
    usual_ms: float = 0.0,
) -> float:
    """Returns the expected time until a minion's answer, in milliseconds.

    It rests on the announced wait, corrected by what this process has sent
    and what was answered since the announcement. The other entries see the
    same announcements and are taken to have sent as much.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        viewpoint: The entry that chooses.
        usual_ms: Service time to assume of a minion that has answered none
            yet, in milliseconds.
    """
    announcement = target.announcement
    slots = max(1, announcement.slots)
    sent = _sent_by_all(target, len(messages.Urgency), viewpoint.entries)
    ahead = _sent_by_all(target, urgency + 1, viewpoint.entries)
    idle = max(0, slots - announcement.running)
    service_ms = announcement.service_ms or usual_ms
    wait_ms = _announced_wait_ms(announcement, urgency)
    wait_ms += (ahead - idle) * service_ms / slots
    load = max(0.0, (announcement.running + sent) / slots)
    hop_ms = 0.0 if announcement.zone == viewpoint.zone else ZONE_HOP_MS
    run_ms = service_ms * (1 + LOAD_WEIGHT * load)
    return hop_ms + max(0.0, wait_ms) + run_ms


def has_room(
    target: directory.Target,
    urgency: messages.Urgency,
    age_s: float,
    entries: int = 1,
) -> bool:
    """Returns whether a minion's queue probably takes a request.

    A full queue has room again once a tenth of it is served.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        age_s: Age of the announcement in seconds.
        entries: Number of entries that send to the same minions.
    """
    announcement = target.announcement
    if announcement.sheds is not urgency:
        return True
    sent = _sent_by_all(target, len(messages.Urgency), entries)
    served = announcement.slots * age_s * 1000
    served /= max(MIN_SERVICE_MS, announcement.service_ms)
    return served - sent > ROOM_SHARE * announcement.queued


def choose(
    candidates: Sequence[directory.Target],
    urgency: messages.Urgency,
    viewpoint: Viewpoint,
    random: random_module.Random,
) -> directory.Target | None:
    """Returns the best of two random minions here and two elsewhere.

    Args:
        candidates: Minions that take new work.
        urgency: Urgency class of the request.
        viewpoint: The entry that chooses.
        random: Source of the samples.
    """
    zone = viewpoint.zone
    near = [t for t in candidates if t.announcement.zone == zone]
    far = [t for t in candidates if t.announcement.zone != zone]
    sample = _sample(near, random) + _sample(far, random)
    if not sample:
        return None
    usual_ms = max(t.announcement.service_ms for t in candidates)
    return min(
        sample, key=lambda t: expected_ms(t, urgency, viewpoint, usual_ms)
    )


def _sent_by_all(target: directory.Target, classes: int, entries: int) -> int:
    """Returns what was sent since the announcement, less what was answered.

    Args:
        target: An announced minion.
        classes: Number of the most urgent classes to count.
        entries: Number of entries that send to the same minions.
    """
    own = sum(target.outstanding[:classes]) - sum(
        target.outstanding_when_announced[:classes]
    )
    return own * entries if own > 0 else own


def _sample(
    targets: list[directory.Target], random: random_module.Random
) -> list[directory.Target]:
    if len(targets) <= SAMPLE:
        return targets
    return random.sample(targets, SAMPLE)


def _announced_wait_ms(
    announcement: messages.Announcement, urgency: messages.Urgency
) -> float:
    if urgency < len(announcement.waits_ms):
        return announcement.waits_ms[urgency]
    return 0.0
