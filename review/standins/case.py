"""Runs one case: its exit code says whether the rule was broken."""

from collections.abc import Callable
import os
import pathlib
import shutil
import signal
import sys
import traceback

from review.standins import site as site_module

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
Play = Callable[[site_module.Site, bool], str | None]


def run(
    folder: pathlib.Path,
    play: Play,
    edges: int,
    sides: int,
    proxied: bool = False,
) -> None:
    """Plays a case, ends all processes, and exits.

    Args:
        folder: Folder of the case; `record.txt` is written there.
        play: Plays it with or without the disruption; returns how the rule was
            broken, None if it held.
        edges: Number of machines with an entry.
        sides: Number of machines with an agent and a minion.
        proxied: Whether each entry reaches the store through a proxy.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = site_module.Record(folder / "record.txt")
    record.line(f"TROUBLE={int(trouble)}")
    code, verdict = COULD_NOT_RUN, "could not run"
    # The processes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    site = site_module.Site(record, edges, sides, proxied)
    if os.environ.get("KEEP") == "1":
        record.line(f"logs are in {site.folder}")
    try:
        broken = play(site, trouble)
        code = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
    except Exception:  # noqa: BLE001 - any failure means that it could not run
        record.line(traceback.format_exc())
    finally:
        site.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(site.folder, ignore_errors=True)
    record.line(verdict)
    print(verdict)
    sys.exit(code)
