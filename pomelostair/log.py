"""JSON log lines with numbered events, to standard output, never blocking.

Each kind of event has a budget of lines a second, and what a slow reader does
not take is dropped. Both are counted and told in a line of their own.
"""

import collections
import logging
import os
import select
import time

from pythonjsonlogger import json as jsonlogger

from pomelostair import events

_STANDARD_OUTPUT = 1
_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines of one event in a second; a full day of the larger sites stays below.
BUDGET_PER_S = 200
# Warnings and errors tell of refused and failed work and get more.
WARNING_BUDGET_PER_S = 400
# Lines kept for a reader that is slow for a moment.
MAX_WAITING = 2000


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for its reader.

    Args:
        descriptor: Where to write.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._second = 0
        self._spent: dict[int, int] = {}
        self._dropped: dict[str, int] = {}

    @property
    def waiting(self) -> tuple[bytes, ...]:
        """Lines that the reader has not taken yet."""
        return tuple(self._waiting)

    @property
    def dropped(self) -> dict[str, int]:
        """Lines that were dropped and not told yet, by reason."""
        return dict(self._dropped)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        if not self._within_budget(record):
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(self._waiting) >= MAX_WAITING:
            self._count("reader-slow")
            self._flush_waiting()
            return
        self._waiting.append(line)
        self._flush_waiting()

    def _within_budget(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._spent.clear()
            self._tell_dropped(record.name)
        number = getattr(record, "event", 0)
        spent = self._spent.get(number, 0)
        self._spent[number] = spent + 1
        budget = BUDGET_PER_S
        if record.levelno >= logging.WARNING:
            budget = WARNING_BUDGET_PER_S
        if spent < budget:
            return True
        self._count(f"budget-{number}")
        return False

    def _count(self, reason: str) -> None:
        self._dropped[reason] = self._dropped.get(reason, 0) + 1

    def _tell_dropped(self, name: str) -> None:
        if not self._dropped:
            return
        event = events.Events.LINES_DROPPED
        record = logging.LogRecord(
            name, event.value.level, "", 0, event.value.text, None, None
        )
        record.event = event.value.number
        record.event_name = event.name
        record.dropped = self._dropped
        self._dropped = {}
        self._waiting.append(self.format(record).encode() + b"\n")

    def _flush_waiting(self) -> None:
        while self._waiting and self._poll.poll(0):
            line = self._waiting[0]
            try:
                # A pipe that polls as writable takes PIPE_BUF bytes at once.
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                self._waiting.clear()
                return
            if written >= len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]


def configure(process: str, level: str = "INFO") -> None:
    """Sends all log lines as JSON to standard output.

    Args:
        process: Name of the process, put into each line.
        level: Lowest level that is written.
    """
    handler = BoundedHandler(_STANDARD_OUTPUT)
    handler.setFormatter(
        jsonlogger.JsonFormatter(_FORMAT, static_fields={"process": process})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def emit(
    event: events.Events, *, exc_info: bool = False, **fields: object
) -> None:
    """Writes one event of the catalogue.

    Args:
        event: The kind of event.
        exc_info: Whether to add the traceback of the current exception.
        **fields: Further fields of the line.
    """
    logger = logging.getLogger("pomelostair")
    if not logger.isEnabledFor(event.value.level):
        return
    fields["event"] = event.value.number
    fields["event_name"] = event.name
    logger.log(
        event.value.level, event.value.text, extra=fields, exc_info=exc_info
    )
