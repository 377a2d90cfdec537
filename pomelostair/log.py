"""JSON log lines with numbered events."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

from pomelostair import events

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(process: str, level: str = "INFO") -> None:
    """Sends all log lines as JSON to standard error.

    Args:
        process: Name of the process, put into each line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
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
