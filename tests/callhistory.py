"""Checks the results that callers got against the journals of the minions.

An attempt is one call of a caller. Attempts of the same request have the same
`Idempotency-Key`. No request may run twice.
"""

import collections
import hashlib

import attrs
import msgspec

from pomelostair_standins import minion

DEPARTURE_GRACE_S = 3.0
STALE_RUN_TOLERANCE_S = 1.0


@attrs.define
class Attempt:
    """One call and its result.

    Attributes:
        id: Id of the attempt, also in the minion's journal.
        request_id: Id of the request, shared by its attempts.
        body: Body of the HTTP request.
        started_s: Monotonic seconds at which the call started.
        ended_s: Monotonic seconds at which it ended.
        status: HTTP status, 0 without a complete response.
        ran: Value of the response header that says whether a refused request
            ran.
        response_body: Body of the response.
        urgency: Urgency class.
    """

    id: str
    request_id: str
    body: bytes = b""
    started_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    ran: str = ""
    response_body: bytes = b""
    urgency: str = "normal"

    @property
    def expected_body(self):
        """Complete response body of a minion to this attempt."""
        digest = hashlib.sha256(self.body).hexdigest()
        return f"POST /fit {digest}\n".encode()


@attrs.frozen
class Departure:
    """Time span in which a minion should get no new request.

    Attributes:
        minion: Name of the minion.
        departed_s: Monotonic seconds at which its agent began to drain or
            died.
        returned_s: Monotonic seconds at which the agent was back.
    """

    minion: str
    departed_s: float
    returned_s: float = float("inf")


@attrs.define
class History:
    """Observations of one test run.

    Attributes:
        slots: Slots of each minion.
        attempts: Attempts of all callers.
        journals: Journal entries of each minion, by its name.
        departures: Departures of minions.
    """

    slots: int
    attempts: list[Attempt] = attrs.field(factory=list)
    journals: dict[str, list[minion.JournalRecord]] = attrs.field(factory=dict)
    departures: list[Departure] = attrs.field(factory=list)

    def read_journal(self, name, path):
        """Reads a minion's journal."""
        lines = path.read_bytes().splitlines()
        self.journals[name] = [
            msgspec.json.decode(line, type=minion.JournalRecord)
            for line in lines
        ]

    def run_starts(self):
        """Returns the minion and journal entry of each start of an attempt."""
        return [
            (name, entry)
            for name, journal in self.journals.items()
            for entry in journal
            if entry.event == "begin" and entry.attempt
        ]


def check(history):
    """Returns the violations as texts, which start with their kind."""
    return [
        *_double_runs(history),
        *_false_refusals(history),
        *_wrong_responses(history),
        *_over_slots(history),
        *_runs_after_departure(history),
        *_stale_runs(history),
    ]


def unclear_results(history):
    """Returns descriptions of the attempts with an unclear result."""
    return [
        f"unclear: {a.id} status {a.status} ran {a.ran}"
        for a in history.attempts
        if a.status != 200 and a.ran != "no"
    ]


def _double_runs(history):
    request_of = {a.id: a.request_id for a in history.attempts}
    runs = collections.Counter(
        request_of.get(entry.attempt, entry.attempt)
        for _, entry in history.run_starts()
    )
    return [f"double-run: {r} ran {n} times" for r, n in runs.items() if n > 1]


def _false_refusals(history):
    ran = {entry.attempt for _, entry in history.run_starts()}
    return [
        f"false-refusal: {a.id} ran"
        for a in history.attempts
        if a.ran == "no" and a.id in ran
    ]


def _wrong_responses(history):
    request_of = {a.id: a.request_id for a in history.attempts}
    ran = {request_of.get(e.attempt) for _, e in history.run_starts()}
    violations = []
    for attempt in history.attempts:
        if attempt.status != 200:
            continue
        if attempt.response_body != attempt.expected_body:
            violations.append(f"wrong-answer: {attempt.id}")
        if attempt.request_id not in ran:
            violations.append(f"answer-without-run: {attempt.id}")
    return violations


def _over_slots(history):
    violations = []
    for name, journal in history.journals.items():
        running = 0
        for entry in journal:
            match entry.event:
                case "open":
                    running = 0
                case "begin":
                    running += 1
                case "end":
                    running -= 1
            if running > history.slots:
                violations.append(f"over-slots: {name} ran {running}")
    return violations


def _runs_after_departure(history):
    return [
        f"run-after-departure: {name} began {entry.attempt}"
        for name, entry in history.run_starts()
        for departure in history.departures
        if name == departure.minion
        and departure.departed_s + DEPARTURE_GRACE_S
        < entry.at
        < departure.returned_s
    ]


def _stale_runs(history):
    """Finds runs that started long after their callers had a result."""
    ended_s = {a.id: a.ended_s for a in history.attempts if a.ended_s}
    return [
        f"stale-run: {entry.attempt}"
        for _, entry in history.run_starts()
        if entry.at
        > ended_s.get(entry.attempt, entry.at) + STALE_RUN_TOLERANCE_S
    ]
