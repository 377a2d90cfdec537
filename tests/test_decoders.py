"""Fuzz tests of decoders of external input without a fuzz test elsewhere.

The HTTP server, the messages, the settings and the faults of the stand-ins
are fuzzed in their own test modules.
"""

import contextlib
import json
import math

import attrs
import curio
import hypothesis
from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from pomelostair import contention
from pomelostair import dispatch
from pomelostair import errors
from pomelostair import fleet
from pomelostair import http
from pomelostair import jobapi
from pomelostair import messages
from pomelostair import pipeline
from pomelostair import pipelinelease
from pomelostair import pipelinerows
from pomelostair import store
from pomelostair import wire
from pomelostair.platform import decoding
from pomelostair.platform import minion
from pomelostair.platform import store as platform_store
from tests import pipelines

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
JOB = {
    "id": "casting-1",
    "kind": "wear-watch",
    "team": "foundry",
    "urgency": "batch",
    "tasks": 2,
    "size": {"cores": 1.0, "memory_mb": 10, "accelerators": 0},
    "run_s": 1.0,
    "once": True,
    "survive": False,
    "max_failures": 3,
}


class TestJob:
    @given(strategies.binary(max_size=60))
    def test_malformed_bytes_are_rejected(self, body):
        with pytest.raises(errors.HttpError) as caught:
            jobapi.parse(body)
        assert caught.value.status == 400

    @given(strategies.sampled_from(sorted(JOB)), JSON)
    def test_any_value_of_a_key_is_accepted_or_rejected(self, key, value):
        body = json.dumps({**JOB, key: value}).encode()
        try:
            spec = jobapi.parse(body)
        except errors.HttpError as error:
            assert error.status == 400
            return
        assert 0 < spec.tasks <= jobapi.MAX_TASKS
        assert spec.run_s >= 0
        assert spec.size.cores > 0
        assert wire.encode_body(messages.SubmitJob(spec))

    @pytest.mark.parametrize(
        "changes",
        [
            {"size": {"memory_mb": 10**20}},
            {"size": {"accelerators": 10**20}},
            {"max_failures": 10**20},
        ],
    )
    def test_number_too_large_for_a_message_is_rejected(self, changes):
        with pytest.raises(errors.HttpError) as caught:
            jobapi.parse(json.dumps({**JOB, **changes}).encode())
        assert caught.value.status == 400


class TestRequest:
    @given(
        strategies.text(max_size=40),
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    "pomelostair-urgency",
                    "pomelostair-timeout-ms",
                    "pomelostair-team",
                    "idempotency-key",
                ]
            ),
            strategies.text(max_size=20),
        ),
    )
    def test_any_path_and_headers_are_accepted_or_rejected(self, path, headers):
        request = http.Request(
            "POST", f"/services/{path}", tuple(headers.items()), b""
        )
        with contextlib.suppress(errors.HttpError):
            _, serve = dispatch.parse_request(request)
            assert 0 < serve.budget_ms <= dispatch.MAX_TIMEOUT_MS
            assert wire.encode_body(serve)


class TestJoin:
    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_accepted_or_raise_msgspec_error(self, body):
        with contextlib.suppress(msgspec.MsgspecError):
            msgspec.json.decode(body, type=messages.JoinRequest)


class TestPlatformAnswer:
    @given(strategies.integers(200, 599), strategies.binary(max_size=60))
    def test_any_answer_yields_a_known_outcome(self, status, body):
        class Client:
            async def request(self, _request, _timeout_s):
                return http.Response(status, (), body)

        class Metrics:
            def count(self, *_args, **_labels):
                pass

        table = platform_store.RowsTable(Client(), Client(), Metrics(), 1.0)

        async def ask():
            await table.read("a")
            await table.scan("a")
            return await table.commit(store.Transaction())

        assert type(curio.run(ask)).__name__ in {
            "Committed",
            "Conflict",
            "Unavailable",
            "Unknown",
        }


MANY = hypothesis.settings(max_examples=300)
STEP = {"count": 2, "cpu": 500, "memMb": 10, "estimateMs": 9, "after": []}
ROUTE = {"name": "r", "pathPrefix": "/r/", "service": "s", "stretch": 1.5}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
    "labels": ["a", "r1"],
    "clockMs": 1,
    "remainingMs": 0,
    "seq": 1,
    "born": 1,
}


def with_value(document, value):
    """Returns a strategy of documents with one other value, at any depth."""
    if isinstance(document, dict):
        inner = [
            with_value(member, value).map(
                lambda changed, name=name: {**document, name: changed}
            )
            for name, member in document.items()
        ]
    elif isinstance(document, list) and document:
        inner = [
            with_value(document[0], value).map(
                lambda changed: [changed, *document[1:]]
            )
        ]
    else:
        inner = []
    return strategies.one_of(value, *inner)


def bodies(document):
    """Returns a strategy of any bytes, and of nearly valid JSON bodies."""
    return strategies.binary(max_size=60) | with_value(document, JSON).map(
        lambda changed: json.dumps(changed).encode()
    )


def rows(value):
    """Returns a strategy of any bytes, and of nearly valid stored values."""
    numbers = strategies.integers(-(2**63), 2**64 - 1)
    odd = JSON.filter(_fits_into_msgpack) | numbers | strategies.floats()
    return strategies.binary(max_size=60) | with_value(
        msgspec.to_builtins(value), odd
    ).map(msgspec.msgpack.encode)


def _fits_into_msgpack(value):
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True


class TestPlatformBodies:
    @MANY
    @given(bodies(HEARTBEAT))
    def test_any_heartbeat_names_a_usable_worker_or_none(self, body):
        with contextlib.suppress(errors.MessageError):
            heartbeat = decoding.decode_heartbeat(body, "w1")
            assert msgspec.msgpack.encode(heartbeat)
            minion.MinionClient(heartbeat.address, heartbeat.worker)
            assert min(attrs.astuple(heartbeat.capacity)) >= 0

    @MANY
    @given(bodies({"born": 1}))
    def test_any_deregistration_is_accepted_or_rejected(self, body):
        with contextlib.suppress(errors.MessageError):
            assert msgspec.msgpack.encode(decoding.decode_deregistration(body))

    @MANY
    @given(bodies({"spec": "", "steps": [STEP], "repeats": 1}))
    def test_any_submission_is_accepted_or_rejected(self, body):
        with contextlib.suppress(errors.MessageError):
            declared = decoding.decode_submission(body, "a", "q", 1)
            assert (
                pipeline.decode_declaration(pipeline.encode(declared))
                == declared
            )

    @MANY
    @given(
        bodies(
            {
                "version": 1,
                "routes": [{**ROUTE, "advice": {"validMs": 1}}],
                "services": [{"name": "s", "admissionCheck": True}],
            }
        )
    )
    def test_any_configuration_is_accepted_or_rejected(self, body):
        with contextlib.suppress(errors.MessageError):
            table = decoding.decode_configuration(body)
            assert msgspec.msgpack.encode(table.version)
            table.match("host", "/r/1")


class TestStoredRows:
    @MANY
    @given(rows(pipelines.declare("a", pipelines.stage(2, rack="r"))))
    def test_any_declaration_can_be_scheduled_or_is_malformed(self, value):
        row = store.Row(pipelinerows.declaration_key("a"), value, 1)
        with contextlib.suppress(msgspec.MsgspecError, ValueError):
            declared = pipelinerows.decode(row).declaration
            item = pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)
            item.open_due(2**53, 0.0)
            assert len(item.unfinished()) <= 2 * pipeline.MAX_TASKS
            assert msgspec.msgpack.encode(item.progress())

    @MANY
    @given(
        rows(
            pipeline.Progress(
                pipeline.Phase.RUNNING,
                {"0.0": b"\1", "3.0": b"\0"},
                {"0.0.1": [65]},
                {"0.0.1": "saved"},
                0,
                0,
            )
        ),
        strategies.sampled_from([0, 1]),
    )
    def test_any_progress_can_be_continued_or_is_malformed(
        self, value, first_run_ms
    ):
        declared = pipelines.declare(
            "a",
            pipelines.stage(2),
            first_run_ms=first_run_ms,
            interval_ms=1,
            occurrences=9,
        )
        with contextlib.suppress(msgspec.MsgspecError, ValueError):
            progress = pipeline.decode_progress(value)
            item = pipeline.Pipeline(declared, 1, progress, 0.0)
            for task in item.unfinished():
                item.place(task, task.last_attempt + 1)
            assert msgspec.msgpack.encode(item.progress())

    @MANY
    @given(
        rows(
            fleet.Registration(
                "tcp://10.0.0.1:80",
                (
                    fleet.KnownIncarnation(
                        "w1", 7, "10.0.0.1:80", "s", "r1", ("a",)
                    ),
                ),
            )
        )
    )
    def test_any_registration_names_usable_workers_or_none(self, value):
        row = store.Row(f"{pipelinerows.AGENTS_PREFIX}w1", value, 1)
        with contextlib.suppress(msgspec.MsgspecError):
            registration = pipelinerows.decode_registration(row)
            assert pipelinerows.encode_registration(registration)
            for known in registration.lives:
                if known.address:
                    minion.MinionClient(known.address, known.worker)

    @MANY
    @given(rows(pipelinelease.LeaseRow(1, "edge", "tcp://1.2.3.4:5", "t", 9.0)))
    def test_any_lease_can_be_succeeded_or_is_malformed(self, value):
        row = store.Row(pipelinelease.KEY, value, 1)
        with contextlib.suppress(msgspec.MsgspecError):
            lease = pipelinelease.decode(row).row
            token = (lease.epoch + 1) << 31
            assert int(float(token)) == token
            assert 0 <= lease.end_ms < math.inf

    @MANY
    @given(
        rows(
            contention.Learned((("s", "f", 1.0, 0.5),), {"s": 9.0}),
        )
    )
    @hypothesis.example(
        msgspec.msgpack.encode(
            contention.Learned((("s", "f", 1.0, 0.5),), {"s": math.inf})
        )
    )
    def test_any_learned_row_can_be_adopted_or_is_malformed(self, value):
        row = store.Row(pipelinerows.LEARNED_KEY, value, 1)
        model = contention.Contention()
        with contextlib.suppress(msgspec.MsgspecError):
            model.adopt(pipelinerows.decode_learned(row), 0.0)
        learned = model.learned(9)
        numbers = [x for pair in learned.pairs for x in pair[2:]]
        numbers += learned.min_latencies_ms.values()
        assert all(0 <= x < math.inf for x in numbers)
        assert pipelinerows.encode_learned(model)
