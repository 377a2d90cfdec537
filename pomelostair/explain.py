"""From the id of a request to its cause, by nothing but log lines.

Reads the JSON lines that the processes write, of one process or of all, in any
order. It knows the events of the catalogue (docs/EVENTS.md) and no state of a
running system.
"""

from collections.abc import Iterable
import datetime
import json

import attrs

from pomelostair import events

# A gap in seconds between two steps of a request that is worth a cause.
LEAST_GAP_S = 1.0
# Seconds before a refusal in which a lost store explains it.
LOOK_BACK_S = 30.0

_Events = events.Events
# Steps of a request, by the event that ends the gap before it.
_WAITS = {
    _Events.START_ORDERED: "waited for a start",
    _Events.ORDER_CARRIED_OUT: "waited for its worker to take the order",
    _Events.ATTEMPT_ENDED: "ran on its worker",
    _Events.ATTEMPT_PACED: "ran on its worker",
    _Events.STOP_ORDERED: "ran on its worker",
    _Events.PIPELINE_ENDED: "waited for its state to be decided",
}
# What a process believes or depends on; such lines explain gaps.
_CIRCUMSTANCES = (
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
    _Events.ADVICE_FAILED,
    _Events.STORE_LOST,
    _Events.STORE_BACK,
)
_BY_NAME = {event.name: event for event in _Events}
_OWN_FIELDS = ("pipeline", "task", "process", "event", "event_name")
_LOG_FIELDS = ("asctime", "levelname", "name", "message")


@attrs.frozen
class Line:
    """One log line.

    Attributes:
        at_s: Unix seconds by the clock of its host.
        process: Name of the process.
        event: Its kind.
        fields: Further fields.
    """

    at_s: float
    process: str
    event: events.Events
    fields: dict[str, object]

    @property
    def request(self) -> str:
        """Id of the request that it touches, empty for none."""
        task = str(self.fields.get("task", ""))
        return str(self.fields.get("pipeline", "") or task.partition(".")[0])

    @property
    def details(self) -> str:
        """Its fields as text, without the id."""
        return " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _OWN_FIELDS and name not in _LOG_FIELDS
        )


@attrs.frozen
class Explanation:
    """What the lines tell of a request.

    Attributes:
        lines: Lines that touch it, oldest first.
        causes: Why it failed, was late or ran again, one text each.
    """

    lines: tuple[Line, ...]
    causes: tuple[str, ...]


def read(texts: Iterable[str]) -> list[Line]:
    """Returns the lines of the catalogue, oldest first; others are left out."""
    found = []
    for text in texts:
        line = _parse(text)
        if line is not None:
            found.append(line)
    found.sort(key=lambda line: line.at_s)
    return found


def explain(lines: list[Line], request: str) -> Explanation:
    """Returns what the lines tell of a request.

    Args:
        lines: All lines, oldest first.
        request: Its id.
    """
    own = tuple(line for line in lines if line.request == request)
    if not own:
        return Explanation(
            own,
            (
                "no process names it: it reached none of them, or named no "
                "queue (404, counted by submissions_malformed if unreadable)",
            ),
        )
    causes = [
        *_refusals(lines, own),
        *_failure(lines, own),
        *_restarts(own),
        *_gaps(lines, own),
    ]
    return Explanation(own, tuple(dict.fromkeys(causes)))


def _parse(text: str) -> Line | None:
    # Lines of a played day have the time and the process before the JSON.
    begin = text.find("{")
    try:
        fields = json.loads(text[begin:]) if begin >= 0 else None
        event = _BY_NAME.get(str(fields["event_name"]))
        at = datetime.datetime.strptime(
            str(fields["asctime"]), "%Y-%m-%d %H:%M:%S,%f"
        )
    except (ValueError, KeyError, TypeError):
        return None
    if event is None:
        return None
    at_s = at.replace(tzinfo=datetime.UTC).timestamp()
    return Line(at_s, str(fields.get("process", "")), event, fields)


def _refusals(lines: list[Line], own: tuple[Line, ...]) -> list[str]:
    causes = []
    for line in own:
        if line.event is not _Events.PIPELINE_REFUSED:
            continue
        text = (
            f"{line.process} refused {line.fields.get('call')}: "
            f"{line.fields.get('reason')}, ran: {line.fields.get('ran')}"
        )
        lost = _lost_store(lines, line)
        if lost is not None:
            text += (
                f"; the store turned {line.process} away since "
                f"{line.at_s - lost.at_s:.1f} s ({lost.fields.get('reason')})"
            )
        causes.append(text)
    accepted = [o for o in own if o.event is _Events.PIPELINE_ACCEPTED]
    if causes and accepted:
        causes.append(f"it was accepted by {accepted[-1].process} all the same")
    return causes


def _lost_store(lines: list[Line], refusal: Line) -> Line | None:
    """Returns since when the store was lost to a process at its refusal."""
    lost = None
    for line in lines:
        if line.at_s > refusal.at_s:
            break
        if line.process != refusal.process:
            continue
        if line.event is _Events.STORE_LOST:
            lost = line
        elif line.event is _Events.STORE_BACK:
            lost = None
    if lost is None or refusal.at_s - lost.at_s > LOOK_BACK_S:
        return None
    return lost


def _failure(lines: list[Line], own: tuple[Line, ...]) -> list[str]:
    failed = [
        line
        for line in own
        if line.event is _Events.PIPELINE_ENDED
        and line.fields.get("phase") == "failed"
    ]
    if not failed:
        return []
    task = failed[0].fields.get("task")
    workers = [
        str(line.fields.get("worker"))
        for line in own
        if line.event is _Events.ATTEMPT_ENDED
        and line.fields.get("task") == task
        and line.fields.get("end") == "failed"
    ]
    suspects = {
        str(line.fields.get("worker"))
        for line in lines
        if line.event is _Events.PIPELINE_WORKER_SUSPECT
    }
    names = ", ".join(workers)
    text = f"{task} failed {len(workers)} times, on {names}"
    if set(workers) & suspects:
        text += "; attempts of others failed there, too: the worker is at fault"
    else:
        text += "; no worker of these is suspect: the work itself is at fault"
    return [text]


def _restarts(own: tuple[Line, ...]) -> list[str]:
    causes = []
    last: dict[str, Line] = {}
    reasons: dict[tuple[str, object], str] = {}
    for line in own:
        task = str(line.fields.get("task", ""))
        attempt = (task, line.fields.get("attempt"))
        match line.event:
            case _Events.STOP_ORDERED:
                reasons[attempt] = str(line.fields.get("reason"))
            case _Events.ATTEMPT_ENDED:
                end = str(line.fields.get("end"))
                reasons.setdefault(attempt, end)
            case _Events.START_ORDERED:
                before = last.get(task)
                if before is not None:
                    key = (task, before.fields.get("attempt"))
                    why = reasons.get(key, "its worker was lost")
                    causes.append(
                        f"{task} ran again on {line.fields.get('worker')}: "
                        f"attempt {key[1]} on {before.fields.get('worker')} "
                        f"ended: {why}"
                    )
                last[task] = line
    return causes


def _gaps(lines: list[Line], own: tuple[Line, ...]) -> list[str]:
    causes = []
    for before, after in zip(own, own[1:], strict=False):
        gap_s = after.at_s - before.at_s
        if gap_s < LEAST_GAP_S or after.event not in _WAITS:
            continue
        named = str(after.fields.get("task") or after.request)
        text = f"{named} {_WAITS[after.event]} for {gap_s:.1f} s"
        paces = [
            line
            for line in own
            if line.event is _Events.ATTEMPT_PACED
            and line.at_s <= after.at_s
            and line.fields.get("task") == after.fields.get("task")
        ]
        if paces and after.event is not _Events.START_ORDERED:
            percent = paces[-1].fields.get("percent")
            text += f"; its pace was {percent} %, for services beside it"
        met = [
            f"{line.process}: {line.event.value.text} ({line.details})"
            for line in lines
            if before.at_s - LEAST_GAP_S <= line.at_s <= after.at_s
            and line.event in _CIRCUMSTANCES
            and _concerns(line, after)
        ]
        if met:
            text += "; meanwhile " + "; ".join(met[:5])
        causes.append(text)
    return causes


def _concerns(line: Line, after: Line) -> bool:
    """Returns whether a circumstance may explain a wait."""
    worker = line.fields.get("worker")
    return worker is None or worker == after.fields.get("worker")
