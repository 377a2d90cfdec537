"""Causes three kinds of failed requests, and finds the cause from log lines."""

import datetime
import json
import logging

import pytest

from pomelostair import cli
from pomelostair import explain
from pomelostair import pipeline
from tests import faultystore
from tests import pipelines
from tests import simfleet
from tests import test_pipelineapi


class Recorder(logging.Handler):
    """Keeps records as the lines that a process writes."""

    def __init__(self, process, now):
        super().__init__()
        self.process = process
        self.now = now
        self.lines = []

    def emit(self, record):
        if not hasattr(record, "event_name"):
            return
        known = vars(logging.makeLogRecord({}))
        at = datetime.datetime.fromtimestamp(self.now(), datetime.UTC)
        fields = {
            "asctime": at.strftime("%Y-%m-%d %H:%M:%S,%f")[:-3],
            "message": record.getMessage(),
            "process": self.process,
            **{k: v for k, v in vars(record).items() if k not in known},
        }
        self.lines.append(json.dumps(fields, default=str))


@pytest.fixture
def record():
    logger = logging.getLogger("pomelostair")
    before = logger.level
    logger.setLevel(logging.INFO)
    made = []

    def begin(process, now):
        handler = Recorder(process, now)
        made.append(handler)
        logger.addHandler(handler)
        return handler

    yield begin
    for handler in made:
        logger.removeHandler(handler)
    logger.setLevel(before)


def causes(recorder, request):
    lines = explain.read(recorder.lines)
    return explain.explain(lines, request).causes


class TestRefused:
    def test_store_that_is_away_is_named(self, record):
        recorder = record("edge", lambda: 1000.0)
        harness = test_pipelineapi.Harness()

        async def body():
            harness.table.faults = [faultystore.Fault.UNAVAILABLE] * 20
            return await harness.submit(timeout_s=0.5)

        harness.run(body)
        (cause,) = causes(recorder, test_pipelineapi.ID)
        assert "edge refused submit: store-unavailable, ran: no" in cause

    def test_request_that_nobody_logged(self):
        (cause,) = explain.explain([], "a").causes
        assert "no process names it" in cause


class TestFailed:
    def play(self, record, failing):
        fleet = simfleet.Fleet()
        recorder = record("edge", lambda: fleet.now)
        for name in failing:
            fleet.hosts[name].runner.failing = True
        fleet.run_for(1)
        fleet.submit("a")
        fleet.run_for(20)
        assert fleet.phase("a") is pipeline.Phase.FAILED
        return recorder

    def test_work_that_fails_everywhere_is_at_fault(self, record):
        recorder = self.play(record, ("w1", "w2", "w3"))
        found = causes(recorder, "a")
        limit = pipelines.QUEUE.max_attempts
        assert f"a.0.0.0 failed {limit} times, on w" in found[0]
        assert "the work itself is at fault" in found[0]


class TestLate:
    def test_leader_that_was_away_is_named(self, record):
        fleet = simfleet.Fleet()
        recorder = record("edge", lambda: fleet.now)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 500
        fleet.submit(
            "a", pipelines.stage(estimate_ms=500), pipelines.stage(after=(0,))
        )
        fleet.run_for(0.3)
        for host in fleet.hosts.values():
            host.partitioned = True
        fleet.run_for(3)
        for host in fleet.hosts.values():
            host.partitioned = False
        fleet.run_for(5)
        assert fleet.phase("a") is pipeline.Phase.COMPLETED
        found = causes(recorder, "a")
        assert any("ran on its worker for" in cause for cause in found)

    def test_wait_for_room_is_told_with_what_went_on(self):
        texts = [
            '{"asctime": "2026-01-01 00:00:00,000", "process": "edge",'
            ' "event_name": "PIPELINE_ACCEPTED", "pipeline": "a"}',
            '{"asctime": "2026-01-01 00:00:01,000", "process": "edge",'
            ' "event_name": "LEASE_LOST", "epoch": 3}',
            '{"asctime": "2026-01-01 00:00:04,500", "process": "other",'
            ' "event_name": "START_ORDERED", "task": "a.0.0.0", "attempt": 1}',
        ]
        lines = explain.read(texts)
        (cause,) = explain.explain(lines, "a").causes
        assert "a.0.0.0 waited for a start for 4.5 s" in cause
        assert "edge: cell lease lost (epoch=3)" in cause


class TestRanAgain:
    def test_lost_worker_is_named(self, record):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        recorder = record("edge", lambda: fleet.now)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
        fleet.submit("a", pipelines.stage(2, estimate_ms=20_000))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(12)
        found = causes(recorder, "a")
        again = [cause for cause in found if "ran again on w2" in cause]
        assert len(again) == 1
        assert "on w1 ended: its worker was lost" in again[0]


class TestRead:
    def test_other_lines_are_left_out(self):
        texts = [
            "Traceback (most recent call last):",
            "{",
            "[1]",
            '{"event_name": "STARTED"}',
            '{"event_name": "NOT_OURS", "asctime": "2026-01-01 00:00:00,000"}',
            '{"event_name": "STARTED", "asctime": "yesterday"}',
        ]
        assert explain.read(texts) == []

    def test_every_event_of_the_maps_is_in_the_catalogue(self):
        for event in (*explain._WAITS, *explain._CIRCUMSTANCES):
            assert explain._BY_NAME[event.name] is event


class TestTool:
    def test_cause_is_printed(self, tmp_path, capsys):
        path = tmp_path / "all.log"
        path.write_text(
            '{"asctime": "2026-01-01 00:00:00,000", "process": "edge",'
            ' "event_name": "PIPELINE_REFUSED", "pipeline": "a",'
            ' "call": "submit", "reason": "answer-lost", "ran": "unknown"}\n'
        )
        assert cli.main(["explain", "a", str(path)]) == cli.EXIT_DONE
        shown = capsys.readouterr().out
        assert "cause: edge refused submit: answer-lost, ran: unknown" in shown
        assert cli.main(["explain", "b", str(path)]) == cli.EXIT_REFUSED
        missing = str(tmp_path / "missing")
        assert cli.main(["explain", "a", missing]) == cli.EXIT_USAGE
        assert cli.main(["explain", "a"]) == cli.EXIT_USAGE
