"""Non-blocking JSON logging of numbered events to standard output.

The number of lines per second is limited for each kind of event, and lines
are dropped while a slow reader leaves the buffer full. Dropped lines are
counted by reason and reported in a LINES_DROPPED event.
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
# Per kind of event; the larger sites stay below it throughout a full day.
MAX_LINES_PER_S = 200
# Warnings and errors report refused and failed work, so their limit is higher.
MAX_WARNING_LINES_PER_S = 400
# Buffered for a reader that is slow for a short time.
MAX_BUFFERED_LINES = 2000
MAX_BUFFERED_BYTES = 2 * 1024 * 1024
# Texts of callers and peers are cut to this length.
MAX_FIELD_CHARACTERS = 2000


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking on its reader.

    Args:
        descriptor: File descriptor of the output.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._buffered: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._budget_second = 0
        self._lines_in_second: dict[int, int] = {}
        self._dropped: dict[str, int] = {}

    @property
    def buffered(self) -> tuple[bytes, ...]:
        """Lines that are not yet written completely."""
        return tuple(self._buffered)

    @property
    def dropped(self) -> dict[str, int]:
        """Number of dropped lines that are not yet reported, by reason."""
        return dict(self._dropped)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or buffers one record, or counts it as dropped."""
        if not self._within_budget(record):
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if (
            len(self._buffered) >= MAX_BUFFERED_LINES
            or self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES
        ):
            self._count_dropped("reader-slow")
            self._flush_buffered()
            return
        self._append(line)
        self._flush_buffered()

    def _append(self, line: bytes) -> None:
        self._buffered.append(line)
        self._buffered_bytes += len(line)

    def _within_budget(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._budget_second:
            self._budget_second = second
            self._lines_in_second.clear()
            self._report_dropped(record.name)
        number = getattr(record, "event", 0)
        logged = self._lines_in_second.get(number, 0)
        self._lines_in_second[number] = logged + 1
        limit = MAX_LINES_PER_S
        if record.levelno >= logging.WARNING:
            limit = MAX_WARNING_LINES_PER_S
        if logged < limit:
            return True
        self._count_dropped(f"budget-{number}")
        return False

    def _count_dropped(self, reason: str) -> None:
        self._dropped[reason] = self._dropped.get(reason, 0) + 1

    def _report_dropped(self, logger_name: str) -> None:
        if not self._dropped or len(self._buffered) >= MAX_BUFFERED_LINES:
            return
        event = events.Events.LINES_DROPPED
        record = logging.LogRecord(
            logger_name, event.value.level, "", 0, event.value.text, None, None
        )
        record.event = event.value.number
        record.event_name = event.name
        record.dropped = self._dropped
        self._dropped = {}
        self._append(self.format(record).encode() + b"\n")

    def _flush_buffered(self) -> None:
        while self._buffered and self._poll.poll(0):
            line = self._buffered[0]
            try:
                # A pipe that polls as writable accepts PIPE_BUF bytes without
                # blocking.
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= min(written, len(line))
            if written >= len(line):
                self._buffered.popleft()
            else:
                self._buffered[0] = line[written:]


def configure(process: str, level: str = "INFO") -> None:
    """Configures the root logger to write JSON lines to standard output.

    Args:
        process: Name of the process, added to each line.
        level: Lowest level that is logged.
    """
    handler = NonBlockingHandler(_STANDARD_OUTPUT)
    handler.setFormatter(
        jsonlogger.JsonFormatter(_FORMAT, static_fields={"process": process})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def emit(
    event: events.Events, *, exc_info: bool = False, **fields: object
) -> None:
    """Logs one event of the catalogue.

    Args:
        event: The kind of event.
        exc_info: Whether to add the traceback of the current exception.
        **fields: Additional fields of the line.
    """
    logger = logging.getLogger("pomelostair")
    if not logger.isEnabledFor(event.value.level):
        return
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            fields[name] = value[:MAX_FIELD_CHARACTERS] + "..."
    fields["event"] = event.value.number
    fields["event_name"] = event.name
    logger.log(
        event.value.level, event.value.text, extra=fields, exc_info=exc_info
    )
