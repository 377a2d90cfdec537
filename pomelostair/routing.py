"""Choice of a minion for a request."""

from collections.abc import Sequence
import random as random_module

from pomelostair import directory
from pomelostair import messages

ZONE_HOP_MS = 3.0
LOAD_WEIGHT = 0.25
SAMPLE = 2
ROOM_SHARE = 0.1
MIN_SERVICE_MS = 0.1


def expected_ms(
    target: directory.Target, urgency: messages.Urgency, zone: str
) -> float:
    """Returns the expected time until a minion's answer, in milliseconds.

    It rests on the announced wait, corrected by what this process has sent
    and what was answered since the announcement.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        zone: Availability zone of this process.
    """
    announcement = target.announcement
    slots = max(1, announcement.slots)
    sent = sum(target.outstanding) - sum(target.counted)
    ahead = sum(target.outstanding[: urgency + 1])
    ahead -= sum(target.counted[: urgency + 1])
    idle = max(0, slots - announcement.running)
    wait_ms = _announced_wait_ms(announcement, urgency)
    wait_ms += (ahead - idle) * announcement.service_ms / slots
    load = max(0.0, (announcement.running + sent) / slots)
    hop_ms = 0.0 if announcement.zone == zone else ZONE_HOP_MS
    run_ms = announcement.service_ms * (1 + LOAD_WEIGHT * load)
    return hop_ms + max(0.0, wait_ms) + run_ms


def has_room(
    target: directory.Target, urgency: messages.Urgency, age_s: float
) -> bool:
    """Returns whether a minion's queue probably takes a request.

    A full queue has room again once a tenth of it is served.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        age_s: Age of the announcement in seconds.
    """
    announcement = target.announcement
    if announcement.sheds is not urgency:
        return True
    sent = sum(target.outstanding) - sum(target.counted)
    served = announcement.slots * age_s * 1000
    served /= max(MIN_SERVICE_MS, announcement.service_ms)
    return served - sent > ROOM_SHARE * announcement.queued


def choose(
    candidates: Sequence[directory.Target],
    urgency: messages.Urgency,
    zone: str,
    random: random_module.Random,
) -> directory.Target | None:
    """Returns the best of two random minions here and two elsewhere.

    Args:
        candidates: Minions that take new work.
        urgency: Urgency class of the request.
        zone: Availability zone of this process.
        random: Source of the samples.
    """
    near = [t for t in candidates if t.announcement.zone == zone]
    far = [t for t in candidates if t.announcement.zone != zone]
    sample = _sample(near, random) + _sample(far, random)
    if not sample:
        return None
    return min(sample, key=lambda t: expected_ms(t, urgency, zone))


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
