"""End-to-end tests of a site that runs as separate processes."""

import hashlib
from http import client
import socket

import pytest

from pomelostair_standins import site
from tests import caller

SERVICE_PATH = "/services/clapper-desk/fit"


@pytest.fixture(scope="module")
def running_site():
    with site.running(site.Shape(minions=2, workers=2)) as running:
        for entry in running.entries:
            assert caller.eventually(
                lambda entry=entry: (
                    caller.call(entry, "GET", SERVICE_PATH).status == 200
                )
            )
        yield running


class TestRequest:
    @pytest.mark.parametrize("size", [0, 1, 70_000, 3_000_000])
    def test_request_and_response_bodies_are_complete(self, running_site, size):
        body = b"z" * size
        answer = caller.call(
            running_site.balancer,
            "POST",
            SERVICE_PATH,
            body,
            {"x-answer-bytes": str(size), "x-service-ms": "1"},
        )
        digest = hashlib.sha256(body).hexdigest()
        assert answer.status == 200
        assert answer.body == f"POST /fit {digest}\n".encode() + b"." * size

    @pytest.mark.parametrize("method", ["GET", "POST", "PUT"])
    def test_chunked_request_body_is_complete(self, running_site, method):
        chunks = [b"z" * size for size in (1, 70_000, 200_000, 3)]
        connection = client.HTTPConnection(
            running_site.balancer, timeout=caller.TIMEOUT_S
        )
        headers = {"x-service-ms": "1", "transfer-encoding": "chunked"}
        connection.request(
            method, SERVICE_PATH, iter(chunks), headers, encode_chunked=True
        )
        response = connection.getresponse()
        digest = hashlib.sha256(b"".join(chunks)).hexdigest()
        assert response.status == 200
        assert response.read() == f"{method} /fit {digest}\n".encode()
        connection.close()

    def test_unknown_service_is_rejected(self, running_site):
        def final_answer():
            answer = caller.call(
                running_site.balancer, "GET", "/services/none/x"
            )
            if answer.status == 503:
                assert answer.json()["kind"] == "not-ready"
                assert answer.json()["ran"] == "no"
                return None
            return answer

        answer = caller.eventually(final_answer)
        assert answer.status == 404
        assert answer.json()["kind"] == "unknown-service"
        assert answer.json()["ran"] == "no"
        assert answer.headers["pomelostair-ran"] == "no"

    @pytest.mark.parametrize("value", ["0", "-1", "soon", "9999999999999"])
    def test_invalid_timeout_is_rejected(self, running_site, value):
        headers = {"Pomelostair-Timeout-Ms": value}
        answer = caller.call(
            running_site.balancer, "GET", SERVICE_PATH, headers=headers
        )
        assert answer.status == 400
        assert "Pomelostair-Timeout-Ms" in answer.json()["message"]


class TestJob:
    def test_job_is_accepted_once_and_completes(self, running_site):
        job = {"id": "casting-7", "kind": "wear-watch", "tasks": 3}

        def submitted():
            answer = caller.call(running_site.balancer, "POST", "/v1/jobs", job)
            return answer if answer.status == 202 else None

        first = caller.eventually(submitted)
        assert first.json() == {"id": "casting-7", "created": True}
        again = caller.call(running_site.balancer, "POST", "/v1/jobs", job)
        assert again.json() == {"id": "casting-7", "created": False}

        def completed():
            answer = caller.call(
                running_site.balancer, "GET", "/v1/jobs/casting-7"
            )
            return answer.json()["state"] == "completed" and answer.json()

        view = caller.eventually(completed)
        assert [task["attempt"] for task in view["tasks"]] == [1, 1, 1]

    def test_invalid_job_is_rejected(self, running_site):
        job = {"kind": "wear-watch", "tasks": "many"}
        answer = caller.call(running_site.balancer, "POST", "/v1/jobs", job)
        assert answer.status == 400
        assert "tasks" in answer.json()["message"]


class TestFreePorts:
    def test_port_taken_on_any_host_is_not_returned(self, monkeypatch):
        hosts = ("127.0.0.11", "127.0.0.12")
        first, second, third, _ = site.free_ports(hosts, 4)
        choices = iter([first, second, third])
        monkeypatch.setattr(
            site.random.SystemRandom, "randrange", lambda *_: next(choices)
        )
        monkeypatch.setattr(site, "_allocated_ports", set())
        with socket.socket() as taken:
            taken.bind((hosts[1], second))
            ports = site.free_ports(hosts, 2)
        assert ports == range(third, third + 2)
