"""Fuzz tests of decoders of external input without a fuzz test elsewhere.

The HTTP server, the messages, the settings and the faults of the stand-ins
are fuzzed in their own test modules.
"""

import contextlib
import json

import curio
from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from pomelostair import dispatch
from pomelostair import errors
from pomelostair import http
from pomelostair import jobapi
from pomelostair import messages
from pomelostair import store
from pomelostair import wire
from pomelostair.platform import store as platform_store

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
