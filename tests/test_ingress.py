import json

import pytest

from pomelostair_standins import site
from tests import caller


@pytest.fixture(scope="module")
def entry():
    with site.running(site.Shape(entries=1, minions=0, workers=0)) as running:
        address = running.entries[0]
        assert caller.eventually(
            lambda: (
                caller.call(address, "GET", "/services/none/x").status == 404
            )
        )
        yield address


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("method", "target", "status", "remedy"),
        [
            ("GET", "/", 404, "use one of"),
            ("GET", "/nothing", 404, "use one of"),
            ("GET", "/services/%zz", 400, "%25"),
            ("GET", "/services/a/%", 400, "%25"),
            ("PUT", "/v1/jobs", 405, "use POST /v1/jobs"),
            ("GET", "/v1/jobs", 405, "use POST /v1/jobs"),
            ("POST", "/v1/join", 400, "join request as JSON"),
            ("GET", "/services/none/x", 404, "none serves none"),
        ],
    )
    def test_names_the_remedy_and_says_that_it_did_not_run(
        self, entry, method, target, status, remedy
    ):
        answer = caller.call(entry, method, target, b"")
        assert answer.status == status
        assert remedy in answer.json()["message"]
        assert answer.json()["ran"] == "no"
        assert answer.headers["pomelostair-ran"] == "no"
        assert caller.call(entry, "GET", "/healthz").status == 200

    @pytest.mark.parametrize(
        "body",
        [b"", b"{", b"[]", b"3", b'{"kind": 3}', b"\xff\xfe", b"[" * 100_000],
    )
    def test_an_invalid_job_is_refused(self, entry, body):
        answer = caller.call(entry, "POST", "/v1/jobs", body)
        assert answer.status == 400
        assert "JSON" in answer.json()["message"]
        assert answer.json()["ran"] == "no"

    def test_job_without_a_leader_is_refused_as_not_run(self, entry):
        job = json.dumps({"kind": "wear-watch"}).encode()
        answer = caller.call(entry, "POST", "/v1/jobs", job)
        assert answer.status == 503
        assert answer.json()["kind"] == "no-leader"
        assert answer.json()["ran"] == "no"


class TestMetrics:
    def test_refusals_are_counted_by_reason(self, entry):
        caller.call(entry, "GET", "/services/none/x")
        exposition = caller.call(entry, "GET", "/metrics").body.decode()
        assert (
            'pomelostair_requests_refused_total{reason="unknown-service"'
            in (exposition)
        )
        assert "pomelostair_request_seconds_bucket" in exposition
        assert "process_cpu_seconds_total" in exposition
