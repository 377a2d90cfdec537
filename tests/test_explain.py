"""Provokes refused, failed and delayed requests and explains them from logs."""

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


class LogRecorder(logging.Handler):
    """Records events as the JSON lines that a process would write."""

    def __init__(self, process, now):
        super().__init__()
        self.process = process
        self.now = now
        self.lines = []

    def emit(self, record):
        if not hasattr(record, "event_name"):
            return
        standard_fields = vars(logging.makeLogRecord({}))
        timestamp = datetime.datetime.fromtimestamp(self.now(), datetime.UTC)
        fields = {
            "asctime": timestamp.strftime("%Y-%m-%d %H:%M:%S,%f")[:-3],
            "message": record.getMessage(),
            "process": self.process,
            **{
                k: v
                for k, v in vars(record).items()
                if k not in standard_fields
            },
        }
        self.lines.append(json.dumps(fields, default=str))


@pytest.fixture
def record_log():
    logger = logging.getLogger("pomelostair")
    previous_level = logger.level
    logger.setLevel(logging.INFO)
    handlers = []

    def begin(process, now):
        handler = LogRecorder(process, now)
        handlers.append(handler)
        logger.addHandler(handler)
        return handler

    yield begin
    for handler in handlers:
        logger.removeHandler(handler)
    logger.setLevel(previous_level)


def causes(recorder, request_id):
    lines = explain.parse_lines(recorder.lines)
    return explain.explain(lines, request_id).causes


class TestRefusedRequest:
    def test_unavailable_store_is_named(self, record_log):
        recorder = record_log("edge", lambda: 1000.0)
        harness = test_pipelineapi.Harness()

        async def body():
            harness.table.faults = [faultystore.Fault.UNAVAILABLE] * 20
            return await harness.submit(timeout_s=0.5)

        harness.run(body)
        (cause,) = causes(recorder, test_pipelineapi.ID)
        assert "edge refused submit: store-unavailable, ran: no" in cause

    def test_request_that_no_process_logged(self):
        (cause,) = explain.explain([], "a").causes
        assert "no log line names it" in cause


class TestFailedRequest:
    def run_with_failing_workers(self, record_log, failing):
        fleet = simfleet.Fleet()
        recorder = record_log("edge", lambda: fleet.now)
        for name in failing:
            fleet.hosts[name].runner.failing = True
        fleet.run_for(1)
        fleet.submit("a")
        fleet.run_for(20)
        assert fleet.phase("a") is pipeline.Phase.FAILED
        return recorder

    def test_work_that_fails_everywhere_is_at_fault(self, record_log):
        recorder = self.run_with_failing_workers(record_log, ("w1", "w2", "w3"))
        found = causes(recorder, "a")
        limit = pipelines.QUEUE.max_attempts
        assert f"a.0.0.0 failed {limit} times, on w" in found[0]
        assert "the work itself is at fault" in found[0]


class TestDelayedRequest:
    def test_time_on_a_partitioned_worker_is_named(self, record_log):
        fleet = simfleet.Fleet()
        recorder = record_log("edge", lambda: fleet.now)
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

    def test_wait_for_a_start_names_concurrent_events(self):
        texts = [
            '{"asctime": "2026-01-01 00:00:00,000", "process": "edge",'
            ' "event_name": "PIPELINE_ACCEPTED", "pipeline": "a"}',
            '{"asctime": "2026-01-01 00:00:01,000", "process": "edge",'
            ' "event_name": "LEASE_LOST", "epoch": 3}',
            '{"asctime": "2026-01-01 00:00:04,500", "process": "other",'
            ' "event_name": "START_ORDERED", "task": "a.0.0.0", "attempt": 1}',
        ]
        lines = explain.parse_lines(texts)
        (cause,) = explain.explain(lines, "a").causes
        assert "a.0.0.0 waited for a start for 4.5 s" in cause
        assert "edge: cell lease lost (epoch=3)" in cause

    def test_reason_of_a_reported_wait_is_named(self, record_log):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        recorder = record_log("edge", lambda: fleet.now)
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(estimate_ms=30_000))
        fleet.run_for(0.2)
        ((_, worker),) = fleet.running()
        fleet.hosts[worker].partitioned = True
        fleet.start_leader()
        fleet.run_for(simfleet.LEASE_S + 1)
        found = causes(recorder, "a")
        (waited,) = [cause for cause in found if "waited for a start" in cause]
        assert "reason=earlier-leader" in waited


class TestCrashedWorkers:
    def test_task_that_crashed_workers_is_named(self, record_log):
        """Guards against blaming workers for a task that crashes them."""
        fleet = simfleet.Fleet(names=("w1", "w2", "w3"))
        recorder = record_log("edge", lambda: fleet.now)
        fleet.run_for(1)
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a")
        fleet.run_for(10)
        found = causes(recorder, "a")
        (failure,) = [cause for cause in found if "given up" in cause]
        hosts = [f"agent-{host}" for _, host in fleet.starts]
        assert failure == (
            "a.0.0.0 was given up: workers crashed when they started it, on "
            f"{', '.join(hosts)}"
        )
        assert any("its worker crashed at the start" in c for c in found)

    def test_task_is_named_though_no_agent_reported_a_crash(self, record_log):
        """Guards against a failure without a cause."""
        fleet = simfleet.Fleet(names=("w1", "w2", "w3"))
        recorder = record_log("edge", lambda: fleet.now)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.loses_crashes = True
        fleet.deadly.add("a.0.0.0")
        fleet.submit("a")
        fleet.run_for(30)
        found = causes(recorder, "a")
        (failure,) = [cause for cause in found if "given up" in cause]
        assert all(host in failure for _, host in fleet.starts)


class TestRestartedTask:
    def test_lost_worker_is_named(self, record_log):
        fleet = simfleet.Fleet(names=("w1", "w2"))
        recorder = record_log("edge", lambda: fleet.now)
        fleet.run_for(1)
        for host in fleet.hosts.values():
            host.runner.work_ms = 20_000
        fleet.submit("a", pipelines.stage(2, estimate_ms=20_000))
        fleet.run_for(1)
        fleet.hosts["w1"].partitioned = True
        fleet.run_for(12)
        found = causes(recorder, "a")
        restarts = [cause for cause in found if "ran again on w2" in cause]
        assert len(restarts) == 1
        assert "on w1 ended: its worker was lost" in restarts[0]


class TestParseLines:
    def test_other_lines_are_ignored(self):
        texts = [
            "Traceback (most recent call last):",
            "{",
            "[1]",
            '{"event_name": "STARTED"}',
            '{"event_name": "NOT_OURS", "asctime": "2026-01-01 00:00:00,000"}',
            '{"event_name": "STARTED", "asctime": "yesterday"}',
        ]
        assert explain.parse_lines(texts) == []

    def test_every_event_of_the_maps_is_in_the_catalogue(self):
        for event in (*explain._GAP_DESCRIPTIONS, *explain._CONTEXT_EVENTS):
            assert explain._EVENTS_BY_NAME[event.name] is event


class TestExplainCommand:
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
