"""Selection of a minion for a request, by expected latency."""

from collections.abc import Sequence
import random as random_module

import attrs

from pomelostair import directory
from pomelostair import messages

CROSS_ZONE_LATENCY_MS = 3.0
LOAD_WEIGHT = 1.0
SAMPLE_SIZE = 2
FREED_QUEUE_SHARE = 0.1
MIN_SERVICE_MS = 0.1


@attrs.frozen
class RoutingContext:
    """What the selection needs to know of the sending entry.

    Attributes:
        zone: Availability zone of the entry.
        entries: Number of entries that send to the same minions.
    """

    zone: str
    entries: int = 1


def expected_latency_ms(
    target: directory.Target,
    urgency: messages.Urgency,
    context: RoutingContext,
    default_service_ms: float = 0.0,
) -> float:
    """Returns the expected time until a minion's answer, in milliseconds.

    It is the announced wait, corrected by the requests that were sent and
    answered since the announcement. The other entries see the same
    announcements and are assumed to have sent as many as this one.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        context: The sending entry.
        default_service_ms: Service time to assume for a minion that has
            served no request yet, in milliseconds.
    """
    announcement = target.announcement
    slots = max(1, announcement.slots)
    sent_since = _estimated_sent(target, len(messages.Urgency), context.entries)
    sent_ahead = _estimated_sent(target, urgency + 1, context.entries)
    idle_slots = max(0, slots - announcement.running)
    service_ms = announcement.service_ms or default_service_ms
    wait_ms = _announced_wait_ms(announcement, urgency)
    wait_ms += (sent_ahead - idle_slots) * service_ms / slots
    load = max(0.0, (announcement.running + sent_since) / slots)
    zone_latency_ms = (
        0.0 if announcement.zone == context.zone else CROSS_ZONE_LATENCY_MS
    )
    run_ms = service_ms * (1 + LOAD_WEIGHT * load)
    return zone_latency_ms + max(0.0, wait_ms) + run_ms


def has_room(
    target: directory.Target,
    urgency: messages.Urgency,
    age_s: float,
    entries: int = 1,
) -> bool:
    """Returns whether a minion's queue probably accepts a request.

    A full queue is assumed to have room again once a tenth of it was served.

    Args:
        target: An announced minion.
        urgency: Urgency class of the request.
        age_s: Age of the announcement in seconds.
        entries: Number of entries that send to the same minions.
    """
    announcement = target.announcement
    if announcement.sheds is not urgency:
        return True
    sent_since = _estimated_sent(target, len(messages.Urgency), entries)
    served_since = announcement.slots * age_s * 1000
    served_since /= max(MIN_SERVICE_MS, announcement.service_ms)
    return served_since - sent_since > FREED_QUEUE_SHARE * announcement.queued


def choose(
    candidates: Sequence[directory.Target],
    urgency: messages.Urgency,
    context: RoutingContext,
    random: random_module.Random,
) -> directory.Target | None:
    """Returns the best of two random minions in the zone and two outside it.

    Args:
        candidates: Minions that accept new requests.
        urgency: Urgency class of the request.
        context: The sending entry.
        random: Source of the samples.

    Returns:
        The minion with the lowest expected latency, None without candidates.
    """
    zone = context.zone
    same_zone = [t for t in candidates if t.announcement.zone == zone]
    other_zones = [t for t in candidates if t.announcement.zone != zone]
    sample = _sample(same_zone, random) + _sample(other_zones, random)
    if not sample:
        return None
    default_service_ms = max(t.announcement.service_ms for t in candidates)
    return min(
        sample,
        key=lambda t: expected_latency_ms(
            t, urgency, context, default_service_ms
        ),
    )


def _estimated_sent(
    target: directory.Target, classes: int, entries: int
) -> int:
    """Estimates the change in outstanding requests since the announcement.

    Args:
        target: An announced minion.
        classes: Number of urgency classes to count, from the most urgent.
        entries: Number of entries that send to the same minions.

    Returns:
        Requests sent less requests answered since then. An increase is
        multiplied by the number of entries, a decrease is not.
    """
    own_sent = sum(target.outstanding[:classes]) - sum(
        target.outstanding_when_announced[:classes]
    )
    return own_sent * entries if own_sent > 0 else own_sent


def _sample(
    targets: list[directory.Target], random: random_module.Random
) -> list[directory.Target]:
    if len(targets) <= SAMPLE_SIZE:
        return targets
    return random.sample(targets, SAMPLE_SIZE)


def _announced_wait_ms(
    announcement: messages.Announcement, urgency: messages.Urgency
) -> float:
    if urgency < len(announcement.waits_ms):
        return announcement.waits_ms[urgency]
    return 0.0
