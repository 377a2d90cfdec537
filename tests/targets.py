"""Announced targets for tests of routing, health and the directory."""

from pomelostair import directory
from pomelostair import messages


def make_minion(name, zone="patan", service_ms=20.0, **changes):
    """Returns a minion target with a new announcement."""
    fields = {
        "cell": "main",
        "state": messages.TargetState.READY,
        "service": "clapper-desk",
        "slots": 8,
        **changes,
    }
    announcement = messages.Announcement(
        name=name, zone=zone, service_ms=service_ms, **fields
    )
    return directory.Target(f"memory:{name}", "1", announcement, 0.0, 0.0)
