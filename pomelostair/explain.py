"""Explains from log lines why a request failed, was delayed or ran again.

The input is the JSON log lines of one or more processes, in any order. Only
the events of the catalogue (docs/EVENTS.md) are used; no running process is
queried.
"""

from collections.abc import Iterable
import datetime
import json

import attrs

from pomelostair import events

# Shortest gap between two events of a request that is reported as a cause.
MIN_GAP_S = 1.0
# A store lost earlier than this before a refusal does not explain it.
STORE_LOSS_WINDOW_S = 30.0

_Events = events.Events
# What a request did during a gap, by the event that ends the gap.
_GAP_DESCRIPTIONS = {
    _Events.START_ORDERED: "waited for a start",
    _Events.ORDER_CARRIED_OUT: "waited for its worker to carry out the order",
    _Events.ATTEMPT_ENDED: "ran on its worker",
    _Events.ATTEMPT_PACED: "ran on its worker",
    _Events.STOP_ORDERED: "ran on its worker",
    _Events.PIPELINE_ENDED: "waited for its state to be decided",
}
# Changes of leadership, workers, the store and the advisor; they may explain
# a gap in any request.
_CONTEXT_EVENTS = (
    _Events.LEASE_ACQUIRED,
    _Events.LEASE_LOST,
    _Events.LEASE_GIVEN_UP,
    _Events.LEASE_RENEWAL_FAILED,
    _Events.PIPELINES_RECOVERED,
    _Events.EARLIER_LEASES_LAPSED,
    _Events.PIPELINE_WORKER_SILENT,
    _Events.PIPELINE_WORKER_GONE,
    _Events.PIPELINE_WORKER_SUSPECT,
    _Events.PIPELINE_FITS_NOWHERE,
    _Events.TASK_WAITS,
    _Events.ADVICE_FAILED,
    _Events.STORE_LOST,
    _Events.STORE_BACK,
)
_EVENTS_BY_NAME = {event.name: event for event in _Events}
_OMITTED_FIELDS = ("pipeline", "task", "process", "event", "event_name")
_LOGGING_FIELDS = ("asctime", "levelname", "name", "message")


@attrs.frozen
class LogLine:
    """One log line with an event of the catalogue.

    Attributes:
        at_s: Unix time in seconds by the clock of the process's host.
        process: Name of the process that wrote the line.
        event: Kind of event.
        fields: All fields of the JSON object.
    """

    at_s: float
    process: str
    event: events.Events
    fields: dict[str, object]

    @property
    def request_id(self) -> str:
        """Id of the request that the line concerns, empty if none."""
        task = str(self.fields.get("task", ""))
        return str(self.fields.get("pipeline", "") or task.partition(".")[0])

    @property
    def details(self) -> str:
        """The fields as text, without ids, process and event."""
        return " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _OMITTED_FIELDS and name not in _LOGGING_FIELDS
        )


@attrs.frozen
class Explanation:
    """What the log lines show about a request.

    Attributes:
        lines: Lines that concern the request, oldest first.
        causes: Why it failed, was delayed or ran again, one text each.
    """

    lines: tuple[LogLine, ...]
    causes: tuple[str, ...]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parses log lines and sorts them by time, oldest first.

    Lines without an event of the catalogue are ignored.
    """
    lines = []
    for text in texts:
        line = _parse_line(text)
        if line is not None:
            lines.append(line)
    lines.sort(key=lambda line: line.at_s)
    return lines


def explain(lines: list[LogLine], request_id: str) -> Explanation:
    """Returns what the log lines show about a request.

    Args:
        lines: Log lines of all requests, oldest first.
        request_id: Id of the request.
    """
    request_lines = tuple(
        line for line in lines if line.request_id == request_id
    )
    if not request_lines:
        return Explanation(
            request_lines,
            (
                "no log line names it: it reached no process, or named no "
                "queue (404, counted by submissions_malformed if unreadable)",
            ),
        )
    causes = [
        *_explain_refusals(lines, request_lines),
        *_explain_failure(lines, request_lines),
        *_explain_restarts(request_lines),
        *_explain_gaps(lines, request_lines),
    ]
    return Explanation(request_lines, tuple(dict.fromkeys(causes)))


def _parse_line(text: str) -> LogLine | None:
    # The logs of a simulated day have the time and the process before the JSON.
    json_start = text.find("{")
    try:
        fields = json.loads(text[json_start:]) if json_start >= 0 else None
        event = _EVENTS_BY_NAME.get(str(fields["event_name"]))
        timestamp = datetime.datetime.strptime(
            str(fields["asctime"]), "%Y-%m-%d %H:%M:%S,%f"
        )
    except (ValueError, KeyError, TypeError):
        return None
    if event is None:
        return None
    at_s = timestamp.replace(tzinfo=datetime.UTC).timestamp()
    return LogLine(at_s, str(fields.get("process", "")), event, fields)


def _explain_refusals(
    lines: list[LogLine], request_lines: tuple[LogLine, ...]
) -> list[str]:
    causes = []
    for line in request_lines:
        if line.event is not _Events.PIPELINE_REFUSED:
            continue
        text = (
            f"{line.process} refused {line.fields.get('call')}: "
            f"{line.fields.get('reason')}, ran: {line.fields.get('ran')}"
        )
        store_loss = _store_loss_before(lines, line)
        if store_loss is not None:
            text += (
                f"; the store had refused {line.process} for "
                f"{line.at_s - store_loss.at_s:.1f} s "
                f"({store_loss.fields.get('reason')})"
            )
        causes.append(text)
    accepted = [
        o for o in request_lines if o.event is _Events.PIPELINE_ACCEPTED
    ]
    if causes and accepted:
        causes.append(f"it was accepted by {accepted[-1].process} nevertheless")
    return causes


def _store_loss_before(
    lines: list[LogLine], refusal: LogLine
) -> LogLine | None:
    """Returns the line that reports the store loss behind a refusal.

    Returns None if the refusing process had access to the store, or had lost
    it more than `STORE_LOSS_WINDOW_S` earlier.
    """
    store_loss = None
    for line in lines:
        if line.at_s > refusal.at_s:
            break
        if line.process != refusal.process:
            continue
        if line.event is _Events.STORE_LOST:
            store_loss = line
        elif line.event is _Events.STORE_BACK:
            store_loss = None
    if (
        store_loss is None
        or refusal.at_s - store_loss.at_s > STORE_LOSS_WINDOW_S
    ):
        return None
    return store_loss


def _explain_failure(
    lines: list[LogLine], request_lines: tuple[LogLine, ...]
) -> list[str]:
    failed = [
        line
        for line in request_lines
        if line.event is _Events.PIPELINE_ENDED
        and line.fields.get("phase") == "failed"
    ]
    if not failed:
        return []
    task = failed[0].fields.get("task")
    if "early_losses" in failed[0].fields:
        return [_explain_crashes(request_lines, str(task))]
    workers = [
        str(line.fields.get("worker"))
        for line in request_lines
        if line.event is _Events.ATTEMPT_ENDED
        and line.fields.get("task") == task
        and line.fields.get("end") == "failed"
    ]
    suspect_workers = {
        str(line.fields.get("worker"))
        for line in lines
        if line.event is _Events.PIPELINE_WORKER_SUSPECT
    }
    worker_names = ", ".join(workers)
    text = f"{task} failed {len(workers)} times, on {worker_names}"
    if set(workers) & suspect_workers:
        text += (
            "; attempts of other tasks failed there as well: "
            "the worker is at fault"
        )
    else:
        text += (
            "; none of these workers is suspect: the work itself is at fault"
        )
    return [text]


def _explain_crashes(request_lines: tuple[LogLine, ...], task: str) -> str:
    """Returns why a task was given up under which workers crashed."""
    losses = (_Events.WORKER_CRASHED_AT_START, _Events.ATTEMPT_LOST)
    hosts = [
        str(line.fields.get("host"))
        for line in request_lines
        if line.event in losses and line.fields.get("task") == task
    ]
    return (
        f"{task} was given up: workers crashed when they started it, on "
        f"{', '.join(dict.fromkeys(hosts))}"
    )


def _explain_restarts(request_lines: tuple[LogLine, ...]) -> list[str]:
    causes = []
    last_start: dict[str, LogLine] = {}
    reasons: dict[tuple[str, object], str] = {}
    for line in request_lines:
        task = str(line.fields.get("task", ""))
        attempt = (task, line.fields.get("attempt"))
        match line.event:
            case _Events.STOP_ORDERED:
                reasons[attempt] = str(line.fields.get("reason"))
            case _Events.WORKER_CRASHED_AT_START:
                reasons[attempt] = "its worker crashed at the start"
            case _Events.ATTEMPT_ENDED:
                end = str(line.fields.get("end"))
                reasons.setdefault(attempt, end)
            case _Events.START_ORDERED:
                previous = last_start.get(task)
                if previous is not None:
                    key = (task, previous.fields.get("attempt"))
                    reason = reasons.get(key, "its worker was lost")
                    causes.append(
                        f"{task} ran again on {line.fields.get('worker')}: "
                        f"attempt {key[1]} on {previous.fields.get('worker')} "
                        f"ended: {reason}"
                    )
                last_start[task] = line
    return causes


def _explain_gaps(
    lines: list[LogLine], request_lines: tuple[LogLine, ...]
) -> list[str]:
    causes = []
    # A reported wait is a cause of the gap in which it falls.
    steps = [o for o in request_lines if o.event is not _Events.TASK_WAITS]
    for previous, current in zip(steps, steps[1:], strict=False):
        gap_s = current.at_s - previous.at_s
        if gap_s < MIN_GAP_S or current.event not in _GAP_DESCRIPTIONS:
            continue
        subject = str(current.fields.get("task") or current.request_id)
        text = f"{subject} {_GAP_DESCRIPTIONS[current.event]} for {gap_s:.1f} s"
        pace_changes = [
            line
            for line in request_lines
            if line.event is _Events.ATTEMPT_PACED
            and line.at_s <= current.at_s
            and line.fields.get("task") == current.fields.get("task")
        ]
        if pace_changes and current.event is not _Events.START_ORDERED:
            percent = pace_changes[-1].fields.get("percent")
            text += (
                f"; its pace was {percent} % to protect services on its worker"
            )
        context = [
            f"{line.process}: {line.event.value.text} ({line.details})"
            for line in lines
            if previous.at_s - MIN_GAP_S <= line.at_s <= current.at_s
            and line.event in _CONTEXT_EVENTS
            and _may_explain(line, current)
        ]
        if context:
            text += "; meanwhile " + "; ".join(context[:5])
        causes.append(text)
    return causes


def _may_explain(line: LogLine, gap_end: LogLine) -> bool:
    """Returns whether a context event may explain a gap.

    An event of a worker explains only gaps that end on the same worker, and
    a reported wait only those of its task.
    """
    if line.event is _Events.TASK_WAITS:
        return line.fields.get("task") == gap_end.fields.get("task")
    worker = line.fields.get("worker")
    return worker is None or worker == gap_end.fields.get("worker")
