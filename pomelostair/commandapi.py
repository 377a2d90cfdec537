"""Operators over HTTP at an entry: sentences and whole declarations."""

import attrs
import msgspec

from pomelostair import answers
from pomelostair import command
from pomelostair import configtable
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import edits
from pomelostair import errors
from pomelostair import events
from pomelostair import http
from pomelostair import ingress
from pomelostair import jobapi
from pomelostair import kernel
from pomelostair import log
from pomelostair import messages
from pomelostair import outcome
from pomelostair import queries
from pomelostair import settings as settings_module
from pomelostair import stops

COMMANDS = "/v1/commands"
DECLARATIONS = "/v1/declarations"


@attrs.frozen
class Order:
    """Body of a command.

    Attributes:
        command: One sentence.
        expected_version: Version that a change must find, None for any.
    """

    command: str
    expected_version: int | None = None


@attrs.frozen
class Apply:
    """Body of a change of all declarations.

    Attributes:
        declarations: The whole new set.
        expected_version: Version that it must find.
        dry_run: Whether only the difference is wanted.
    """

    declarations: msgspec.Raw
    expected_version: int
    dry_run: bool = False


@attrs.frozen
class Applied:
    """Answer to `Apply`.

    Attributes:
        version: Version in force at the entry.
        changed: Whether a new version was accepted.
        difference: What differs from the set before.
    """

    version: int
    changed: bool
    difference: tuple[declaration.Difference, ...]


@attrs.frozen
class Declared:
    """The declarations in force with their version."""

    version: int
    declarations: declaration.Declarations


@kernel.plugin(settings_module.Role.ENTRY)
class CommandApi(kernel.Plugin):
    """Runs the sentences of operators."""

    requires = (
        configuration.Configuration,
        ingress.Ingress,
        jobapi.JobApi,
        queries.Queries,
        stops.Stops,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._jobs = host.get(jobapi.JobApi)
        self._queries = host.get(queries.Queries)
        self._stops = host.get(stops.Stops)
        host.get(ingress.Ingress).add_route(COMMANDS, self._serve_command)
        host.get(ingress.Ingress).add_route(
            DECLARATIONS, self._serve_declarations
        )

    async def _serve_command(self, request: http.Request) -> http.Response:
        if request.method != "POST":
            text = f"use POST {COMMANDS}"
            raise errors.HttpError(405, "bad-request", text)
        order = _decode(request.body, Order)
        try:
            sentence = command.parse(order.command)
        except errors.CommandError as error:
            raise errors.HttpError(400, "bad-request", str(error)) from error
        answer = await self._run(sentence, order.expected_version)
        if command.changes(sentence):
            log.emit(
                events.Events.COMMAND_RUN,
                command=command.show(sentence),
                version=self._configuration.in_force.version,
                result=_result_name(answer),
            )
        return self._respond(answer)

    async def _serve_declarations(self, request: http.Request) -> http.Response:
        match request.method:
            case "GET":
                current = self._configuration.in_force
                return http.json_response(
                    200, Declared(current.version, current.declarations)
                )
            case "PUT":
                return self._respond(await self._apply(request.body))
        text = f"use GET or PUT {DECLARATIONS}"
        raise errors.HttpError(405, "bad-request", text)

    def _respond(self, answer: object) -> http.Response:
        if isinstance(answer, outcome.Refused):
            self._parts.metrics.count(
                "commands_refused", reason=answer.kind.value
            )
            return ingress.refusal_response(answer)
        return http.json_response(200, answer)

    async def _apply(self, body: bytes) -> Applied | outcome.Refused:
        apply = _decode(body, Apply)
        try:
            wanted = declaration.parse(bytes(apply.declarations))
        except errors.SettingsError as error:
            return outcome.Refused(outcome.Kind.BAD_REQUEST, str(error))
        current = self._configuration.in_force
        if apply.dry_run:
            lines = declaration.difference(current.declarations, wanted)
            return Applied(current.version, False, lines)
        result = await self._configuration.change(
            edits.replace_declarations(wanted), apply.expected_version
        )
        if isinstance(result, outcome.Refused):
            return result
        lines = declaration.difference(
            result.before.declarations, result.after.declarations
        )
        changed = result.after.version != result.before.version
        return Applied(result.after.version, changed, lines)

    async def _run(
        self, sentence: command.Sentence, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        match sentence:
            case command.Show():
                rows = await self._queries.rows(sentence)
                return self._listed(rows)
            case command.Why():
                return await self._why(sentence)
            case command.ConfigStatus():
                return await self._config_status()
            case command.StopStatus():
                return await self._stops.status()
            case command.DeclareDead():
                return await self._declare_dead(sentence)
            case command.Stop() | command.Shed():
                return await self._stops.order(sentence, expected)
            case command.Drain():
                return await self._drain(sentence, expected)
        return await self._edit(sentence, expected)

    async def _edit(
        self, sentence: command.Sentence, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        match sentence:
            case command.SetLimit():
                edit = edits.set_limit(sentence)
            case command.SetUrgency():
                edit = edits.set_urgency(sentence)
            case command.Undrain():
                edit = edits.undrain(sentence)
            case command.Resume():
                edit = edits.resume
        result = await self._configuration.change(edit, expected)
        return self._changed(result)

    def _listed(
        self, rows: list[queries.Row] | outcome.Refused
    ) -> answers.Answer | outcome.Refused:
        if isinstance(rows, outcome.Refused):
            return rows
        return self._answer(f"{len(rows)} rows", rows)

    def _answer(
        self, message: str, rows: list[queries.Row] | None = None
    ) -> answers.Answer:
        version = self._configuration.in_force.version
        return answers.Answer(message, version, rows or [])

    def _changed(
        self, result: configtable.Accepted | outcome.Refused, note: str = ""
    ) -> answers.Answer | outcome.Refused:
        if isinstance(result, outcome.Refused):
            return result
        lines = declaration.difference(
            result.before.declarations, result.after.declarations
        )
        rows = [attrs.asdict(line) for line in lines]
        message = f"accepted as version {result.after.version}"
        if result.after.version == result.before.version:
            message = f"already so in version {result.after.version}"
        return self._answer(f"{message}{note}", rows)

    async def _why(
        self, sentence: command.Why
    ) -> answers.Answer | outcome.Refused:
        query = messages.ExplainTask(sentence.task)
        answer = await self._jobs.ask_leader(query)
        match answer:
            case messages.Explanation(rows=()):
                return outcome.Refused(
                    outcome.Kind.UNKNOWN_JOB,
                    f"name an existing task as JOB/INDEX; {sentence.task} "
                    "is not",
                )
            case messages.Explanation(rows=lines):
                rows = [{"decision": line} for line in lines]
                return self._answer(f"{len(rows)} decisions", rows)
            case outcome.Refused():
                return answer
        return _unexpected(answer)

    async def _declare_dead(
        self, sentence: command.DeclareDead
    ) -> answers.Answer | outcome.Refused:
        order = messages.DeclareWorkerDead(sentence.worker)
        answer = await self._jobs.ask_leader(order)
        match answer:
            case messages.WorkerDeclaredDead(worker=worker, tasks=tasks):
                rows = [{"id": task} for task in tasks]
                text = f"{worker} counts as dead; {len(rows)} tasks were freed"
                return self._answer(text, rows)
            case outcome.Refused():
                return answer
        return _unexpected(answer)

    async def _config_status(self) -> answers.Answer:
        statuses = await self._configuration.process_statuses()
        rows = [attrs.asdict(status) for status in statuses]
        for row in rows:
            row["age_s"] = round(row["age_s"], 3)
        version = self._configuration.in_force.version
        behind = sum(1 for row in rows if row["version"] < version)
        return self._answer(
            f"version {version} is in force at {len(rows) - behind} of "
            f"{len(rows)} processes",
            rows,
        )

    async def _drain(
        self, sentence: command.Drain, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        kind = await self._queries.target_kind(sentence.target)
        note = ""
        if kind is None:
            note = "; no such target is heard of now, the order waits for it"
        elif kind is not sentence.kind:
            return outcome.Refused(
                outcome.Kind.BAD_REQUEST,
                f"write drain {kind.value}; {sentence.target} is a "
                f"{kind.value}",
            )
        result = await self._configuration.change(
            edits.drain(sentence), expected
        )
        return self._changed(result, note)


def _decode(body: bytes, body_type: type):
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.HttpError(
            400, "bad-request", f"send a JSON object: {error}"
        ) from error


def _result_name(answer: answers.Answer | outcome.Refused) -> str:
    if isinstance(answer, outcome.Refused):
        return answer.kind.value
    return "done"


def _unexpected(answer: object) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.INTERNAL,
        f"upgrade this entry; the leader answered {type(answer).__name__}",
    )
