"""HTTP API for operators at an entry: commands, queries and declarations."""

import attrs
import msgspec

from pomelostair import answers
from pomelostair import codec
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
from pomelostair import responses
from pomelostair import settings as settings_module
from pomelostair import stops

COMMANDS = "/v1/commands"
DECLARATIONS = "/v1/declarations"


@attrs.frozen
class CommandRequest:
    """Body of a command.

    Attributes:
        command: One sentence of the operators' language.
        expected_version: Version of the configuration that a change must be
            based on, None for any.
    """

    command: str
    expected_version: int | None = None


@attrs.frozen
class DeclarationsRequest:
    """Body of a request to replace all declarations.

    Attributes:
        declarations: The complete new declarations.
        expected_version: Version of the configuration that the change must be
            based on.
        dry_run: Whether to return the difference without applying it.
    """

    declarations: msgspec.Raw
    expected_version: int
    dry_run: bool = False


@attrs.frozen
class DeclarationsResponse:
    """Body of the answer to a `DeclarationsRequest`.

    Attributes:
        version: Version of the configuration in force at the entry.
        changed: Whether a new version was accepted.
        difference: Differences from the previous declarations.
    """

    version: int
    changed: bool
    difference: tuple[declaration.Difference, ...]


@attrs.frozen
class DeclarationsInForce:
    """The declarations in force at the entry, with their version."""

    version: int
    declarations: declaration.Declarations


@kernel.plugin(settings_module.Role.ENTRY)
class CommandApi(kernel.Plugin):
    """Executes operators' commands and queries."""

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
        order = _decode(request.body, CommandRequest)
        try:
            sentence = command.parse(order.command)
        except errors.CommandError as error:
            raise errors.HttpError(400, "bad-request", str(error)) from error
        answer = await self._execute(sentence, order.expected_version)
        if command.changes_state(sentence):
            log.emit(
                events.Events.COMMAND_RUN,
                command=command.format_sentence(sentence),
                version=self._configuration.in_force.version,
                result=_result_name(answer),
            )
        return self._to_response(answer)

    async def _serve_declarations(self, request: http.Request) -> http.Response:
        match request.method:
            case "GET":
                current = self._configuration.in_force
                return http.json_response(
                    200,
                    DeclarationsInForce(current.version, current.declarations),
                )
            case "PUT":
                return self._to_response(
                    await self._apply_declarations(request.body)
                )
        text = f"use GET or PUT {DECLARATIONS}"
        raise errors.HttpError(405, "bad-request", text)

    def _to_response(self, answer: object) -> http.Response:
        if isinstance(answer, outcome.Refused):
            self._parts.metrics.count(
                "commands_refused", reason=answer.kind.value
            )
            return responses.refusal_response(answer)
        return http.json_response(200, answer)

    async def _apply_declarations(
        self, body: bytes
    ) -> DeclarationsResponse | outcome.Refused:
        change = _decode(body, DeclarationsRequest)
        try:
            declarations = declaration.parse(bytes(change.declarations))
        except errors.SettingsError as error:
            return outcome.Refused(outcome.Kind.BAD_REQUEST, str(error))
        current = self._configuration.in_force
        if change.dry_run:
            differences = declaration.difference(
                current.declarations, declarations
            )
            return DeclarationsResponse(current.version, False, differences)
        result = await self._configuration.change(
            edits.replace_declarations(declarations), change.expected_version
        )
        if isinstance(result, outcome.Refused):
            return result
        differences = declaration.difference(
            result.before.declarations, result.after.declarations
        )
        changed = result.after.version != result.before.version
        return DeclarationsResponse(result.after.version, changed, differences)

    async def _execute(
        self, sentence: command.Sentence, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        match sentence:
            case command.Show():
                rows = await self._queries.rows(sentence)
                return self._rows_answer(rows)
            case command.Why():
                return await self._explain_task(sentence)
            case command.ConfigStatus():
                return await self._config_status()
            case command.StopStatus():
                return await self._stops.status()
            case command.DeclareDead():
                return await self._declare_dead(sentence)
            case command.Stop() | command.Shed():
                return await self._stops.order(sentence, expected)
            case command.Drain():
                return await self._order_drain(sentence, expected)
        return await self._change_configuration(sentence, expected)

    async def _change_configuration(
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
        return self._change_answer(result)

    def _rows_answer(
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

    def _change_answer(
        self, result: configtable.Accepted | outcome.Refused, suffix: str = ""
    ) -> answers.Answer | outcome.Refused:
        if isinstance(result, outcome.Refused):
            return result
        differences = declaration.difference(
            result.before.declarations, result.after.declarations
        )
        rows = [attrs.asdict(line) for line in differences]
        message = f"accepted as version {result.after.version}"
        if result.after.version == result.before.version:
            message = f"no change to version {result.after.version}"
        return self._answer(f"{message}{suffix}", rows)

    async def _explain_task(
        self, sentence: command.Why
    ) -> answers.Answer | outcome.Refused:
        query = messages.ExplainTask(sentence.task)
        answer = await self._jobs.ask_leader(query)
        match answer:
            case messages.Explanation(rows=()):
                return outcome.Refused(
                    outcome.Kind.UNKNOWN_JOB,
                    "name an existing task as JOB/INDEX; there is no task "
                    f"{sentence.task}",
                )
            case messages.Explanation(rows=lines):
                rows = [{"decision": line} for line in lines]
                return self._answer(f"{len(rows)} decisions", rows)
            case outcome.Refused():
                return answer
        return _unexpected_answer(answer)

    async def _declare_dead(
        self, sentence: command.DeclareDead
    ) -> answers.Answer | outcome.Refused:
        order = messages.DeclareWorkerDead(sentence.worker)
        answer = await self._jobs.ask_leader(order)
        match answer:
            case messages.WorkerDeclaredDead(worker=worker, tasks=tasks):
                rows = [{"id": task} for task in tasks]
                text = f"{worker} is declared dead; {len(rows)} tasks released"
                return self._answer(text, rows)
            case outcome.Refused():
                return answer
        return _unexpected_answer(answer)

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

    async def _order_drain(
        self, sentence: command.Drain, expected: int | None
    ) -> answers.Answer | outcome.Refused:
        kind = await self._queries.target_kind(sentence.target)
        suffix = ""
        if kind is None:
            suffix = "; no such target is known, it is drained once it appears"
        elif kind is not sentence.kind:
            return outcome.Refused(
                outcome.Kind.BAD_REQUEST,
                f"use drain {kind.value}; {sentence.target} is a {kind.value}",
            )
        result = await self._configuration.change(
            edits.drain(sentence), expected
        )
        return self._change_answer(result, suffix)


def _decode(body: bytes, body_type: type):
    try:
        return codec.decode_json(body, body_type)
    except msgspec.MsgspecError as error:
        raise errors.HttpError(
            400, "bad-request", f"send a JSON object: {error}"
        ) from error


def _result_name(answer: answers.Answer | outcome.Refused) -> str:
    if isinstance(answer, outcome.Refused):
        return answer.kind.value
    return "done"


def _unexpected_answer(answer: object) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.INTERNAL,
        f"upgrade this entry; the leader answered {type(answer).__name__}",
    )
