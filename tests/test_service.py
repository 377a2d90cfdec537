import contextlib

import curio
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import errors
from pomelostair import http
from pomelostair_standins import service


class Counter(service.Service):
    """Records the methods of the requests that it applied."""

    def __init__(self):
        super().__init__()
        self.applied = []

    async def handle(self, request):
        self.applied.append(request.method)
        return http.Response(200)


def run(faults, method, then=None):
    counter = Counter()

    async def main():
        await counter.answer(http.Request("POST", "/faults", (), faults))
        answer = await counter.answer(http.Request(method, "/x"))
        if then is not None:
            await then(counter)
        return answer

    return curio.run(main), counter.applied


async def wait_until_applied(counter):
    while not counter.applied:
        await curio.sleep(0.01)


class TestFaults:
    def test_down_applies_nothing(self):
        answer, applied = run(b'{"down": true}', "POST")
        assert answer.status == 503
        assert applied == []

    def test_lose_answers_applies_the_write(self):
        answer, applied = run(b'{"lose_answers": true}', "POST")
        assert answer == http.NoResponse()
        assert applied == ["POST"]

    def test_lose_answers_does_not_affect_reads(self):
        answer, _ = run(b'{"lose_answers": true}', "GET")
        assert answer.status == 200

    def test_late_write_is_applied_after_the_connection_is_closed(self):
        seen = []

        async def then(counter):
            seen.extend(counter.applied)
            await wait_until_applied(counter)

        answer, applied = run(b'{"late_write_ms": 20}', "POST", then)
        assert answer == http.NoResponse()
        assert seen == []
        assert applied == ["POST"]

    def test_paused_request_resumes_when_fault_is_removed(self):
        counter = Counter()

        async def main():
            pause = http.Request("POST", "/faults", (), b'{"paused": true}')
            await counter.answer(pause)
            held = await curio.spawn(counter.answer, http.Request("GET", "/x"))
            await curio.sleep(0.05)
            before = list(counter.applied)
            await counter.answer(http.Request("POST", "/faults", (), b"{}"))
            return before, (await held.join()).status

        assert curio.run(main) == ([], 200)

    def test_get_returns_current_faults(self):
        counter = Counter()
        shown = curio.run(counter.answer, http.Request("GET", "/faults"))
        assert b'"down":false' in shown.body

    @given(strategies.binary(max_size=30))
    def test_any_body_is_parsed_or_rejected(self, body):
        counter = Counter()
        request = http.Request("POST", "/faults", (), body)
        with contextlib.suppress(errors.HttpError):
            curio.run(counter.answer, request)
        assert isinstance(counter.faults, service.Faults)

    @pytest.mark.parametrize("body", [b'{"dwon": true}', b'{"down": 3}'])
    def test_invalid_fault_is_rejected(self, body):
        with pytest.raises(errors.HttpError, match="faults as JSON"):
            curio.run(
                Counter().answer, http.Request("POST", "/faults", (), body)
            )
