import contextlib

import curio
from hypothesis import given
from hypothesis import strategies
import pytest

from pomelostair import errors
from pomelostair import http
from pomelostair_standins import service


class Counter(service.Service):
    """Counts what it applied."""

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

    def test_lost_answer_after_the_write(self):
        answer, applied = run(b'{"lose_answers": true}', "POST")
        assert answer == http.NoResponse()
        assert applied == ["POST"]

    def test_reads_are_answered_while_answers_of_writes_are_lost(self):
        answer, _ = run(b'{"lose_answers": true}', "GET")
        assert answer.status == 200

    def test_late_write_comes_after_the_answer_was_lost(self):
        seen = []

        async def then(counter):
            seen.extend(counter.applied)
            await wait_until_applied(counter)

        answer, applied = run(b'{"late_write_ms": 20}', "POST", then)
        assert answer == http.NoResponse()
        assert seen == []
        assert applied == ["POST"]

    def test_paused_goes_on_when_switched_off(self):
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

    def test_shows_what_is_in_force(self):
        counter = Counter()
        shown = curio.run(counter.answer, http.Request("GET", "/faults"))
        assert b'"down":false' in shown.body

    @given(strategies.binary(max_size=30))
    def test_any_bytes_are_faults_or_refused(self, body):
        counter = Counter()
        request = http.Request("POST", "/faults", (), body)
        with contextlib.suppress(errors.HttpError):
            curio.run(counter.answer, request)
        assert isinstance(counter.faults, service.Faults)

    @pytest.mark.parametrize("body", [b'{"dwon": true}', b'{"down": 3}'])
    def test_misspelt_fault_is_refused(self, body):
        with pytest.raises(errors.HttpError, match="faults as JSON"):
            curio.run(
                Counter().answer, http.Request("POST", "/faults", (), body)
            )
