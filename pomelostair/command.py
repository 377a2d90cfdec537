"""The operators' language: parses and formats commands and queries.

One command or query is a sentence, represented by one of the classes in
`Sentence`. docs/operators/commands.md lists every sentence with examples.
"""

import decimal
import enum
import functools
import json
import re

import attrs
import lark

from pomelostair import declaration
from pomelostair import errors
from pomelostair import messages

MAX_CHARACTERS = 2000
MAX_DURATION_MS = 7 * 24 * 3600 * 1000


class Noun(enum.Enum):
    """Kind of objects that a query lists."""

    TASKS = "tasks"
    JOBS = "jobs"
    WORKERS = "workers"
    MINIONS = "minions"
    TEAMS = "teams"
    LIMITS = "limits"
    SERVICES = "services"
    URGENCIES = "urgencies"
    DRAINS = "drains"


class Operator(enum.Enum):
    """Comparison operator of a condition."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    GREATER = ">"
    AT_LEAST = ">="


COLUMNS = {
    Noun.TASKS: (
        "id",
        "job",
        "kind",
        "team",
        "urgency",
        "state",
        "attempt",
        "worker",
        "cores",
        "survive",
        "reason",
    ),
    Noun.JOBS: (
        "id",
        "kind",
        "team",
        "urgency",
        "tasks",
        "waiting",
        "placed",
        "completed",
        "failed",
        "cancelled",
    ),
    Noun.WORKERS: (
        "id",
        "zone",
        "rack",
        "state",
        "cores",
        "free_cores",
        "memory_mb",
        "free_memory_mb",
        "tasks",
        "silent_s",
        "reason",
    ),
    Noun.MINIONS: (
        "id",
        "service",
        "zone",
        "state",
        "slots",
        "running",
        "queued",
        "silent_s",
    ),
    Noun.TEAMS: ("id", "weight", "cores", "memory_mb", "accelerators"),
    Noun.LIMITS: ("id", "value"),
    Noun.SERVICES: ("id", "idempotent", "survive"),
    Noun.URGENCIES: ("id", "urgency"),
    Noun.DRAINS: ("id", "kind", "within_s", "state", "left"),
}


@attrs.frozen
class Condition:
    """A condition of a query.

    Attributes:
        column: Name of a column of the query's noun.
        operator: Comparison operator.
        value: Value that the column is compared with; if both are numbers,
            they are compared as numbers.
    """

    column: str
    operator: Operator
    value: str


@attrs.frozen
class Show:
    """Lists the objects that satisfy all conditions."""

    noun: Noun
    where: tuple[Condition, ...] = ()


@attrs.frozen
class Why:
    """Explains the latest decision about a task."""

    task: str


@attrs.frozen
class SetLimit:
    """Changes one limit."""

    name: str
    values: tuple[float, ...]


@attrs.frozen
class SetUrgency:
    """Changes the urgency class of a kind of work."""

    kind: str
    urgency: messages.Urgency


@attrs.frozen
class Drain:
    """Gives a target no new work; its current work finishes or is moved."""

    kind: declaration.TargetKind
    target: str
    within_ms: int


@attrs.frozen
class Undrain:
    """Ends the drain of a target, so that it gets new work."""

    kind: declaration.TargetKind
    target: str


@attrs.frozen
class Stop:
    """Stops the site step by step; a plan only shows the effect."""

    within_ms: int
    plan: bool = False


@attrs.frozen
class Shed:
    """Sheds work until tasks use at most a share of the site's cores."""

    percent: float
    within_ms: int | None = None
    plan: bool = False


@attrs.frozen
class Resume:
    """Ends a stop or shed."""


@attrs.frozen
class DeclareDead:
    """Declares a worker dead: it no longer runs any task."""

    worker: str


@attrs.frozen
class ConfigStatus:
    """Lists the configuration version of every process."""


@attrs.frozen
class StopStatus:
    """Shows the stop or shed that is in effect."""


Sentence = (
    Show
    | Why
    | SetLimit
    | SetUrgency
    | Drain
    | Undrain
    | Stop
    | Shed
    | Resume
    | DeclareDead
    | ConfigStatus
    | StopStatus
)

_KEYWORD_TEXT = (
    "where and why set limit urgency drain undrain worker minion within stop "
    "plan site status shed to resume declare dead config"
)
_KEYWORDS = tuple(_KEYWORD_TEXT.split())

_GRAMMAR = r"""
start: show | why | set_limit | set_urgency | drain | undrain | stop
    | plan_stop | shed | plan_shed | resume | declare_dead | config_status
    | stop_status
show: NOUN [_WHERE condition (_AND condition)*]
condition: NAME OPERATOR value
value: NAME | STRING
why: _WHY id
set_limit: _SET _LIMIT NAME NUMBER+
set_urgency: _SET _URGENCY id NAME
drain: _DRAIN TARGET id _WITHIN duration
undrain: _UNDRAIN TARGET id
stop: _STOP _SITE _WITHIN duration
plan_stop: _PLAN _STOP _SITE? _WITHIN duration
shed: _SHED _TO percent [_WITHIN duration]
plan_shed: _PLAN _SHED _TO percent [_WITHIN duration]
resume: _RESUME _SITE
declare_dead: _DECLARE _WORKER id _DEAD
config_status: _CONFIG _STATUS
stop_status: _STOP _STATUS
id: NAME | STRING
duration: NUMBER UNIT
percent: NUMBER _PERCENT
OPERATOR: "!=" | "<=" | ">=" | "=" | "<" | ">"
NUMBER: /[0-9]+(\.[0-9]+)?/
NAME: /[A-Za-z0-9_][A-Za-z0-9_.\/-]*/
STRING: /"([^"\\]|\\.)*"/
UNIT: /(ms|s|m|h)(?![A-Za-z0-9_.\/-])/
_PERCENT: "%"
%ignore /[ \t\r\n]+/
"""

_BOUNDARY = r"(?![A-Za-z0-9_.\/-])"
_UNITS_MS = {"h": 3_600_000, "m": 60_000, "s": 1000, "ms": 1}
_UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_./-]*")
_WORD_OR_STRING = re.compile(r'"[^"]*"?|\S+')
_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "NUMBER": "a number",
    "STRING": 'a name in "quotes"',
    "UNIT": "a unit (ms, s, m or h)",
    "OPERATOR": "one of = != < <= > >=",
    "NOUN": ", ".join(noun.value for noun in Noun),
    "TARGET": "worker or minion",
    "_PERCENT": "%",
    "$END": "the end of the sentence",
}


def parse(text: str) -> Sentence:
    """Parses a sentence.

    Args:
        text: Text of one sentence.

    Raises:
        CommandError: The text is invalid; the error names the first invalid
            word, its column and the remedy.
    """
    if len(text) > MAX_CHARACTERS:
        remedy = f"write at most {MAX_CHARACTERS} characters"
        raise errors.CommandError(text[:20] + "...", 1, remedy)
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as error:
        raise _to_command_error(text, error) from error
    try:
        return _SentenceBuilder().transform(tree)
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, errors.CommandError):
            raise error.orig_exc from error
        raise


def complete(text: str) -> tuple[str, ...]:
    """Returns the words that can follow the beginning of a sentence.

    Args:
        text: The complete words of the beginning, without a partly typed word.
    """
    parser = _parser().parse_interactive(text)
    try:
        parser.exhaust_lexer()
    except lark.UnexpectedInput:
        return ()
    words: list[str] = []
    for terminal in parser.accepts():
        words.extend(_terminal_words(terminal))
    return tuple(sorted(words))


def format_sentence(sentence: Sentence) -> str:
    """Formats a sentence; parsing the text returns an equal sentence."""
    match sentence:
        case Show(noun=noun, where=where):
            conditions = " and ".join(_format_condition(c) for c in where)
            return f"{noun.value} where {conditions}" if where else noun.value
        case Why(task=task):
            return f"why {_quote(task)}"
        case SetLimit(name=name, values=values):
            numbers = " ".join(_format_number(value) for value in values)
            return f"set limit {name} {numbers}"
        case SetUrgency(kind=kind, urgency=urgency):
            return f"set urgency {_quote(kind)} {urgency.name.lower()}"
        case Drain(kind=kind, target=target, within_ms=within_ms):
            within = _format_duration(within_ms)
            return f"drain {kind.value} {_quote(target)} within {within}"
        case Undrain(kind=kind, target=target):
            return f"undrain {kind.value} {_quote(target)}"
        case Stop() | Shed():
            return _format_stop(sentence)
        case Resume():
            return "resume site"
        case DeclareDead(worker=worker):
            return f"declare worker {_quote(worker)} dead"
        case ConfigStatus():
            return "config status"
        case StopStatus():
            return "stop status"


def _format_stop(sentence: Stop | Shed) -> str:
    plan = "plan " if sentence.plan else ""
    match sentence:
        case Stop(within_ms=within_ms):
            return f"{plan}stop site within {_format_duration(within_ms)}"
        case Shed(percent=percent, within_ms=None):
            return f"{plan}shed to {_format_number(percent)} %"
        case Shed(percent=percent, within_ms=within_ms):
            within = _format_duration(within_ms)
            return f"{plan}shed to {_format_number(percent)} % within {within}"


def changes_state(sentence: Sentence) -> bool:
    """Returns whether a sentence changes any state."""
    match sentence:
        case Show() | Why() | ConfigStatus() | StopStatus():
            return False
        case Stop(plan=plan) | Shed(plan=plan):
            return not plan
    return True


def select(
    rows: list[dict[str, object]], where: tuple[Condition, ...]
) -> list[dict[str, object]]:
    """Returns the rows that satisfy all conditions."""
    return [row for row in rows if all(_satisfies(row, c) for c in where)]


def _satisfies(row: dict[str, object], condition: Condition) -> bool:
    cell = row.get(condition.column)
    left: object = "" if cell is None else _to_text(cell)
    right: object = condition.value
    numbers = _to_number(left), _to_number(right)
    if None not in numbers:
        left, right = numbers
    match condition.operator:
        case Operator.EQUAL:
            return left == right
        case Operator.UNEQUAL:
            return left != right
        case Operator.LESS:
            return left < right
        case Operator.AT_MOST:
            return left <= right
        case Operator.GREATER:
            return left > right
        case Operator.AT_LEAST:
            return left >= right


def _to_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _to_number(value: object) -> float | None:
    if not re.fullmatch(r"-?[0-9]+(\.[0-9]+)?", str(value), re.ASCII):
        return None
    return float(str(value))


def _format_condition(condition: Condition) -> str:
    value = _quote(condition.value)
    return f"{condition.column} {condition.operator.value} {value}"


def _quote(text: str) -> str:
    if _UNQUOTED_NAME.fullmatch(text):
        return text
    return json.dumps(text)


def _format_number(value: float) -> str:
    text = format(decimal.Decimal(repr(value)), "f")
    return text.removesuffix(".0")


def _format_duration(milliseconds: int) -> str:
    for unit, size in _UNITS_MS.items():
        if milliseconds % size == 0:
            return f"{milliseconds // size} {unit}"
    raise AssertionError("a duration is a whole number of milliseconds")


@functools.cache
def _parser() -> lark.Lark:
    nouns = "|".join(noun.value for noun in Noun)
    targets = "|".join(kind.value for kind in declaration.TargetKind)
    terminals = [
        f"_{word.upper()}.2: /{word}{_BOUNDARY}/" for word in _KEYWORDS
    ]
    terminals.append(f"NOUN: /({nouns}){_BOUNDARY}/")
    terminals.append(f"TARGET: /({targets}){_BOUNDARY}/")
    grammar = _GRAMMAR + "\n".join(terminals) + "\n"
    return lark.Lark(grammar, parser="lalr", maybe_placeholders=False)


def _to_command_error(
    text: str, error: lark.UnexpectedInput
) -> errors.CommandError:
    match error:
        case lark.UnexpectedCharacters():
            allowed = error.allowed or set()
        case lark.UnexpectedToken():
            allowed = error.accepts or error.expected
        case _:
            allowed = set()
    at_end = error.pos_in_stream in (None, -1) or _is_end(error)
    position = len(text.rstrip()) if at_end else error.pos_in_stream
    word_match = _WORD_OR_STRING.match(text, position)
    word = word_match.group() if word_match else ""
    choices: list[str] = []
    for terminal in sorted(allowed):
        description = _TERMINAL_DESCRIPTIONS.get(terminal)
        choices.extend(
            [description] if description else _terminal_words(terminal)
        )
    remedy = f"write {' or '.join(choices)}"
    return errors.CommandError(word, position + 1, remedy)


def _is_end(error: lark.UnexpectedInput) -> bool:
    token = getattr(error, "token", None)
    return token is not None and token.type == "$END"


def _terminal_words(terminal: str) -> list[str]:
    match terminal:
        case "NOUN":
            return [noun.value for noun in Noun]
        case "TARGET":
            return [kind.value for kind in declaration.TargetKind]
        case "UNIT":
            return list(_UNITS_MS)
        case "_PERCENT":
            return ["%"]
    word = terminal.removeprefix("_").lower()
    return [word] if word in _KEYWORDS else []


class _SentenceBuilder(lark.Transformer):
    """Builds a sentence from a parse tree.

    Each method handles the grammar rule of the same name.
    """

    def start(self, children):
        """Returns the sentence."""
        return children[0]

    def show(self, children):
        """Builds a query and checks that its columns exist."""
        noun = Noun(str(children[0]))
        known = COLUMNS[noun]
        for column, _, _ in children[1:]:
            if column not in known:
                _reject(column, f"write one of {', '.join(known)}")
        conditions = tuple(
            Condition(str(column), Operator(str(operator)), value)
            for column, operator, value in children[1:]
        )
        return Show(noun, conditions)

    def condition(self, children):
        """Returns the parts of a condition; `show` checks its column."""
        return tuple(children)

    def value(self, children):
        """Returns the text of a value."""
        return _unquote(children[0])

    def id(self, children):
        """Returns the text of a name."""
        return _unquote(children[0])

    def why(self, children):
        """Builds a query for the latest decision about a task."""
        return Why(children[0])

    def set_limit(self, children):
        """Builds a change of a limit."""
        name, *numbers = children
        known = [field.name for field in attrs.fields(declaration.Limits)]
        if name not in known:
            _reject(name, f"write one of {', '.join(known)}")
        return SetLimit(str(name), tuple(float(n) for n in numbers))

    def set_urgency(self, children):
        """Builds a change of an urgency class."""
        kind, name = children
        known = {u.name.lower(): u for u in messages.Urgency}
        if name not in known:
            _reject(name, f"write one of {', '.join(known)}")
        return SetUrgency(kind, known[name])

    def drain(self, children):
        """Builds an order to drain a target."""
        kind, target, within_ms = children
        return Drain(declaration.TargetKind(kind), target, within_ms)

    def undrain(self, children):
        """Builds an order to end a drain."""
        kind, target = children
        return Undrain(declaration.TargetKind(kind), target)

    def stop(self, children):
        """Builds an order to stop the site."""
        return Stop(children[0])

    def plan_stop(self, children):
        """Builds a query for the effect of a stop."""
        return Stop(children[0], plan=True)

    def shed(self, children):
        """Builds an order to shed work."""
        return Shed(*children)

    def plan_shed(self, children):
        """Builds a query for the effect of a shed."""
        return Shed(*children, plan=True)

    def resume(self, _children):
        """Builds an order to end a stop or shed."""
        return Resume()

    def declare_dead(self, children):
        """Builds an order to treat a worker as dead."""
        return DeclareDead(children[0])

    def config_status(self, _children):
        """Builds a query for the processes' versions."""
        return ConfigStatus()

    def stop_status(self, _children):
        """Builds a query for the stop or shed in effect."""
        return StopStatus()

    def duration(self, children):
        """Returns a duration in milliseconds."""
        number, unit = children
        milliseconds = float(number) * _UNITS_MS[unit]
        if not 1 <= milliseconds <= MAX_DURATION_MS:
            _reject(number, "write a duration from 1 ms to 168 h")
        if milliseconds != int(milliseconds):
            _reject(number, "write a whole number of milliseconds")
        return int(milliseconds)

    def percent(self, children):
        """Returns a share in percent."""
        number = float(children[0])
        if not 0 <= number <= 100:
            _reject(children[0], "write a share from 0 % to 100 %")
        return number


def _unquote(token: lark.Token) -> str:
    if token.type != "STRING":
        return str(token)
    try:
        return json.loads(token)
    except ValueError:
        _reject(token, "write a string as in JSON")


def _reject(token: lark.Token, remedy: str) -> None:
    raise errors.CommandError(str(token), (token.start_pos or 0) + 1, remedy)
