import json

import curio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from pomelostair import http
from pomelostair import pipeline
from pomelostair import ports
from pomelostair.platform import minion
from tests import nested

RUNNING = ["a.0.0.0", 1, "", 41, 3]
ENDED = [58, "a.0.0.1", 1, "done", ""]
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=6,
)


def hold(body):
    """Returns the client's outcome of a `hold` that got a body as answer."""
    client = minion.MinionClient("127.0.0.1:1", "w1")

    async def answer(_request, _timeout_s):
        return http.Response(200, (), body)

    client._client.request = answer
    return curio.run(client.hold, 1, 0, 1000, 0)


def listing(running=(), ended=()):
    document = {"clockMs": 9, "running": list(running), "ended": list(ended)}
    return json.dumps(document).encode()


class TestHold:
    def test_lists(self):
        answer = hold(listing([RUNNING, RUNNING[:4]], [ENDED]))
        assert answer.running == (
            ("a.0.0.0", 1, "", 41, 3),
            ("a.0.0.0", 1, "", 41, 0),
        )
        assert answer.ended == ((58, "a.0.0.1", 1, pipeline.End.DONE, ""),)

    @pytest.mark.parametrize(
        ("running", "ended"),
        [
            ([RUNNING[:2]], []),
            ([[7, *RUNNING[1:]]], []),
            ([[*RUNNING[:3], "half"]], []),
            ([], [ENDED[:3]]),
            ([], [[*ENDED[:3], "vanished", ""]]),
            ([], [["58", *ENDED[1:]]]),
            ([[RUNNING[0], 2**64, *RUNNING[2:]]], []),
            ([[*RUNNING[:3], 1e300]], []),
            ([[*RUNNING[:4], 2**64]], []),
            ([], [[2**64, *ENDED[1:]]]),
            ([], [[58, "a.0.0.1", 2**64, "done", ""]]),
        ],
    )
    def test_malformed_row_is_no_answer(self, running, ended):
        assert isinstance(hold(listing(running, ended)), ports.NoAnswer)

    @hypothesis.given(
        strategies.lists(strategies.lists(VALUES, max_size=6), max_size=3),
        strategies.lists(strategies.lists(VALUES, max_size=6), max_size=3),
    )
    def test_any_lists_are_an_answer_or_none(self, running, ended):
        outcome = hold(listing(running, ended))
        assert isinstance(outcome, ports.HoldAnswer | ports.NoAnswer)
        msgspec.msgpack.encode(outcome)

    @pytest.mark.parametrize("change", [{"clockMs": 2**64}, {"born": 2**64}])
    def test_number_too_large_for_a_message_is_no_answer(self, change):
        """The agent could send no report any more, and found no leader."""
        body = json.dumps({"clockMs": 9, **change}).encode()
        assert isinstance(hold(body), ports.NoAnswer)

    def test_deeply_nested_answer_is_no_answer(self):
        assert isinstance(
            hold(nested.json_object(clockMs=b"9")), ports.NoAnswer
        )

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_no_answer(self, body):
        assert isinstance(hold(body), ports.NoAnswer)
