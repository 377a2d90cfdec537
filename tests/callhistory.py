"""Checks what callers saw against what minions ran.

An attempt is one call of a caller. Attempts of the same request share its
`Idempotency-Key`. No request may safely run twice.
"""

import collections
import hashlib

import attrs
import msgspec

from pomelostair_standins import minion

LEAVE_S = 3.0
STALE_S = 1.0


@attrs.define
class Attempt:
    """One call as its caller saw it; status 0 for no whole answer.

    Attributes:
        id: Id that the minion's journal shows too.
        request: Id of the request that it tries.
        body: Body that was sent.
        begun: Monotonic seconds of the call.
        ended: Monotonic seconds of its result.
        status: HTTP status.
        ran: Value of the header that tells whether a refused one ran.
        answer: Body that came back.
        urgency: Urgency class.
    """

    id: str
    request: str
    body: bytes = b""
    begun: float = 0.0
    ended: float = 0.0
    status: int = 0
    ran: str = ""
    answer: bytes = b""
    urgency: str = "normal"

    @property
    def expected(self):
        """The whole answer of a minion to this attempt's body."""
        digest = hashlib.sha256(self.body).hexdigest()
        return f"POST /fit {digest}\n".encode()


@attrs.frozen
class Left:
    """A minion whose agent began to leave, or died, at a time."""

    minion: str
    at: float
    until: float = float("inf")


@attrs.define
class History:
    """All that was seen in one run.

    Attributes:
        slots: Slots of each minion.
        attempts: What callers saw.
        journals: What each minion ran, by its name.
        left: Minions that left.
    """

    slots: int
    attempts: list[Attempt] = attrs.field(factory=list)
    journals: dict[str, list[minion.Entry]] = attrs.field(factory=dict)
    left: list[Left] = attrs.field(factory=list)

    def read(self, name, path):
        """Reads a minion's journal."""
        lines = path.read_bytes().splitlines()
        self.journals[name] = [
            msgspec.json.decode(line, type=minion.Entry) for line in lines
        ]

    def begins(self):
        """Returns the minion and line of each run of an attempt."""
        return [
            (name, entry)
            for name, journal in self.journals.items()
            for entry in journal
            if entry.event == "begin" and entry.attempt
        ]


def check(history):
    """Returns each violation as a text that begins with its kind."""
    return [
        *_double_runs(history),
        *_false_refusals(history),
        *_wrong_answers(history),
        *_over_slots(history),
        *_work_on_left(history),
        *_stale_runs(history),
    ]


def cuts(history):
    """Returns the attempts that got no clear result."""
    return [
        f"cut: {a.id} status {a.status} ran {a.ran}"
        for a in history.attempts
        if a.status != 200 and a.ran != "no"
    ]


def _double_runs(history):
    request_of = {a.id: a.request for a in history.attempts}
    runs = collections.Counter(
        request_of.get(entry.attempt, entry.attempt)
        for _, entry in history.begins()
    )
    return [f"double-run: {r} ran {n} times" for r, n in runs.items() if n > 1]


def _false_refusals(history):
    ran = {entry.attempt for _, entry in history.begins()}
    return [
        f"false-no: {a.id} ran"
        for a in history.attempts
        if a.ran == "no" and a.id in ran
    ]


def _wrong_answers(history):
    request_of = {a.id: a.request for a in history.attempts}
    ran = {request_of.get(e.attempt) for _, e in history.begins()}
    found = []
    for attempt in history.attempts:
        if attempt.status != 200:
            continue
        if attempt.answer != attempt.expected:
            found.append(f"wrong-answer: {attempt.id}")
        if attempt.request not in ran:
            found.append(f"answer-without-run: {attempt.id}")
    return found


def _over_slots(history):
    found = []
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
                found.append(f"over-slots: {name} ran {running}")
    return found


def _work_on_left(history):
    return [
        f"work-on-left: {name} began {entry.attempt}"
        for name, entry in history.begins()
        for left in history.left
        if name == left.minion and left.at + LEAVE_S < entry.at < left.until
    ]


def _stale_runs(history):
    """Finds runs that began long after their callers had a result."""
    ended = {a.id: a.ended for a in history.attempts if a.ended}
    return [
        f"stale-run: {entry.attempt}"
        for _, entry in history.begins()
        if entry.at > ended.get(entry.attempt, entry.at) + STALE_S
    ]
