import random

import curio
import pytest

from pomelostair import cell as cell_module
from pomelostair import celllog
from pomelostair import declaration
from pomelostair import leader
from pomelostair import messages
from pomelostair import outcome
from pomelostair import retention
from tests import faultystore
from tests import leaders
from tests import loghistory
from tests import test_cell

F = faultystore.Fault
LEASE_TIMEOUT_S = 0.111  # Just above the task lease plus the drift margin.
END = messages.TaskEnd


async def _running_task(cell, member, worker, job="a"):
    """Submits a job of one task and waits until the worker has started it."""
    await worker.send_heartbeat(member)
    assert isinstance(await cell.submit(member, job), messages.JobAccepted)
    for _ in range(2000):
        await worker.send_heartbeat(member)
        if any(task == f"{job}/0" for task, _ in worker.leases):
            return
        await curio.sleep(0.002)
    raise AssertionError("the task was not started")


def _task(member, task="a/0"):
    return member.leader._state.tasks[task]


def _has_left_worker(member, task="a/0"):
    return leaders.eventually(
        lambda: _task(member, task).reason != "placed on w1"
    )


async def _wait_for_loops():
    """Waits until every loop has run several times."""
    await curio.sleep(0.1)


class TestUrgency:
    def test_override_and_its_removal_apply_to_existing_and_new_jobs(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            await cell.submit(member, "old")
            _override(member, "critical")
            assert await leaders.eventually(
                lambda: _urgency(member, "old") is messages.Urgency.CRITICAL
            )
            await cell.submit(member, "new")
            assert _urgency(member, "new") is messages.Urgency.CRITICAL
            again = await cell.submit(member, "old")
            assert again == messages.JobAccepted("old", created=False)
            _override(member, None)
            return await leaders.eventually(
                lambda: _urgency(member, "old") is messages.Urgency.BATCH
            )

        assert curio.run(main)


def _override(member, urgency):
    entries = ()
    if urgency is not None:
        entries = (declaration.KindUrgency("netting", urgency),)
    declared = declaration.Declarations(urgencies=entries)
    member.host.in_force = declaration.VersionedConfiguration(1, declared)


def _urgency(member, job):
    return member.leader._state.tasks[f"{job}/0"].spec.urgency


class TestSubmit:
    def test_repeated_submission_during_the_commit_creates_one_job(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            member.freeze()
            calls = [
                await curio.spawn(cell.submit, member, "a") for _ in range(5)
            ]
            other = await curio.spawn(cell.submit, member, "b")
            await _wait_for_loops()
            member.freeze(False)
            answers = [await call.join() for call in calls]
            assert [a.created for a in answers].count(True) == 1
            assert (await other.join()).created
            assert not (await cell.submit(member, "a")).created
            logged = [
                event.spec.id
                for event in await cell.events()
                if isinstance(event, cell_module.JobSubmitted)
            ]
            assert sorted(logged) == ["a", "b"]

        curio.run(main)

    def test_same_id_with_another_specification_is_a_conflict(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            await cell.submit(member, "a")
            refused = await cell.submit(member, "a", tasks=2)
            assert refused.kind is outcome.Kind.CONFLICT
            assert refused.ran is outcome.Ran.NO

        curio.run(main)

    @pytest.mark.parametrize(
        "fault", [F.LOST_ANSWER, F.LOST_REQUEST, F.DELAYED, F.UNAVAILABLE]
    )
    def test_answer_matches_the_log_whatever_happens_to_the_write(self, fault):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            member.table.faults = [F.NONE, fault, F.UNAVAILABLE, fault] * 3
            answer = await cell.submit(member, "a")
            await member.table.release()
            await _wait_for_loops()
            logged = [
                event.spec.id
                for event in await cell.events()
                if isinstance(event, cell_module.JobSubmitted)
            ]
            if isinstance(answer, outcome.Refused):
                assert answer.ran is outcome.Ran.NO
                assert logged == []
            else:
                assert logged == ["a"]

        curio.run(main)

    def test_submission_is_refused_during_a_store_outage(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            member.table.down = True
            assert await leaders.eventually(
                lambda: member.leader._cell_log.has_store_outage
            )
            refused = await cell.submit(member, "a")
            assert refused.kind is outcome.Kind.STORE_UNAVAILABLE
            assert refused.ran is outcome.Ran.NO
            member.table.down = False
            assert await leaders.eventually(
                lambda: not member.leader._cell_log.has_store_outage
            )
            assert (await cell.submit(member, "a")).created

        curio.run(main)


class TestCancel:
    def test_thousands_of_cancels_and_one_that_races_a_completion(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            jobs = [f"j{index}" for index in range(2000)]
            submits = [
                await curio.spawn(cell.submit, member, job) for job in jobs
            ]
            for call in submits:
                assert (await call.join()).created
            worker.finish()
            calls = [
                await curio.spawn(cell.call, member, messages.CancelJob(job))
                for job in [*jobs, "a"]
            ]
            await worker.send_heartbeat(member)
            views = [await call.join() for call in calls]
            assert {view.state for view in views[:-1]} == {"cancelled"}
            assert views[-1].state in ("cancelled", "completed")
            again = await cell.call(member, messages.CancelJob("a"))
            assert again.state == views[-1].state

        curio.run(main)


class TestLapse:
    def test_silent_worker_keeps_its_tasks_until_its_leases_lapsed(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            granted = cell.clock.now()
            for _ in range(5):
                cell.clock.advance(0.02)
                assert await leaders.eventually(lambda: member.is_leading)
            cell.clock.advance(granted + 0.1095 - cell.clock.now())
            await _wait_for_loops()
            assert _task(member).worker == "w1"
            cell.clock.advance(0.001)
            assert await _has_left_worker(member)
            worker.expire()
            assert not worker.leases
            other = leaders.FakeWorker(cell, "w2")
            await leaders.eventually(lambda: member.is_leading)
            for _ in range(200):
                await other.send_heartbeat(member)
                await curio.sleep(0.002)
                if other.runs:
                    break
            runs = worker.runs + other.runs
            assert [run.attempt for run in runs] == [1, 2]
            assert not loghistory.violations(await cell.events(), runs, ["a"])

        curio.run(main)

    def test_heartbeat_is_refused_while_the_lapse_is_being_logged(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            member.table.down = True
            assert await leaders.eventually(
                lambda: member.leader._cell_log.has_store_outage
            )
            cell.clock.advance(LEASE_TIMEOUT_S)
            assert await leaders.eventually(
                lambda: member.leader._commit_buffer.lapsing_tasks
            )
            answer = await worker.send_heartbeat(member, timeout_s=0.2)
            assert not isinstance(answer, messages.HeartbeatAck)

        curio.run(main)

    def test_tasks_of_a_worker_declared_dead_wait_again_at_once(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            order = messages.DeclareWorkerDead("w1")
            answer = await cell.call(member, order)
            assert answer == messages.WorkerDeclaredDead("w1", ("a/0",))
            assert _task(member).state is cell_module.TaskState.WAITING
            assert (await cell.call(member, order)).tasks == ()

        curio.run(main)


class TestOutage:
    def test_running_tasks_are_renewed_only_for_the_grace(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            await cell.submit(member, "b")
            member.table.down = True
            assert await leaders.eventually(
                lambda: member.leader._cell_log.has_store_outage
            )
            cell.clock.advance(0.065)
            for _ in range(18):
                ack = await worker.send_heartbeat(member)
                assert ack.renew == (("a/0", 1),)
                assert not (ack.start or ack.stop or ack.acknowledged)
                cell.clock.advance(0.05)
            cell.clock.advance(0.15)
            late = await worker.send_heartbeat(member, timeout_s=0.2)
            assert not isinstance(late, messages.HeartbeatAck)
            member.table.down = False
            assert await leaders.eventually(lambda: member.is_leading)
            assert member.leader._cell_log.epoch == 1

        curio.run(main)

    async def _takeover(self, cell, reachable):
        """Returns a leader cut off from the table, its successor, a worker."""
        old = await cell.leader("m1")
        worker = leaders.FakeWorker(cell, "w1")
        await _running_task(cell, old, worker)
        old.table.down = True
        assert await leaders.eventually(
            lambda: old.leader._cell_log.has_store_outage
        )
        if not reachable:
            cell.network.cut("m1")
        new = await cell.standby("m2")
        cell.clock.advance(0.08)
        assert await leaders.eventually(lambda: new.is_leading)
        return old, new, worker

    def test_successor_waits_for_the_grace_of_an_unreachable_leader(self):
        async def main():
            cell = leaders.CellHarness()
            old, new, worker = await self._takeover(cell, reachable=False)
            cell.network.heal("m1")
            old.bus._handlers.pop(messages.StepDown)
            for _ in range(17):
                await worker.send_heartbeat(old)
                cell.clock.advance(0.05)
                assert await leaders.eventually(lambda: new.is_leading)
            await _wait_for_loops()
            assert worker.leases, "the old leader stopped renewing"
            assert _task(new).worker == "w1"
            for _ in range(8):
                cell.clock.advance(0.05)
                await worker.send_heartbeat(old, timeout_s=0.05)
                assert await leaders.eventually(lambda: new.is_leading)
            assert await _has_left_worker(new)
            worker.expire()
            assert not worker.leases

        curio.run(main)

    def test_leader_that_steps_down_shortens_the_wait(self):
        async def main():
            cell = leaders.CellHarness()
            old, new, worker = await self._takeover(cell, reachable=True)
            grace = cell.clock.now() + 0.5
            assert await leaders.eventually(
                lambda: new.leader._task_leases.horizon < grace
            )
            answer = await worker.send_heartbeat(old, timeout_s=0.2)
            assert not isinstance(answer, messages.HeartbeatAck)
            for _ in range(4):
                cell.clock.advance(0.04)
                assert await leaders.eventually(lambda: new.is_leading)
            assert await _has_left_worker(new)
            worker.expire()
            assert not worker.leases

        curio.run(main)


class TestHandover:
    def test_stopped_leader_is_succeeded_without_a_lease_timeout(self):
        async def main():
            cell = leaders.CellHarness()
            old = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, old, worker)
            new = await cell.member("m2")
            await old.stop()
            assert await leaders.eventually(lambda: new.is_leading)
            assert not old.is_leading
            ack = await worker.send_heartbeat(new)
            assert ack.renew == (("a/0", 1),)
            horizon = new.leader._task_leases.horizon
            assert horizon <= cell.clock.now() + 0.11

        curio.run(main)


class TestSnapshot:
    def test_successor_recovers_from_snapshot_and_log(self, monkeypatch):
        monkeypatch.setattr(leader, "SNAPSHOT_AFTER_ROWS", 3)

        async def main():
            cell = leaders.CellHarness()
            old = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, old, worker)
            for index in range(20):
                await cell.submit(old, f"j{index}", tasks=2)
            assert await leaders.eventually(
                lambda: old.leader._cell_log.row.cut
            )
            page = await cell.table.scan("cells/main/log/")
            assert 0 < len(page.rows) < 20
            expected = test_cell.state_facts(old.leader._state)
            old.table.down = True
            await old.kill()
            new = await cell.standby("m2")
            new.objects.down = True
            cell.clock.advance(0.08)
            await _wait_for_loops()
            assert not new.is_leading, "it leads without the snapshot"
            new.objects.down = False
            assert await leaders.eventually(lambda: new.is_leading)
            assert test_cell.state_facts(new.leader._state) == expected

        curio.run(main)

    def test_ended_jobs_expire_after_the_retention(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, member, worker)
            worker.finish()
            for _ in range(3):
                await worker.send_heartbeat(member)
                await _wait_for_loops()
            assert list(member.leader._state.ended) == ["a"]
            cell.clock.advance(retention.RETENTION_S - 1)
            assert await leaders.eventually(lambda: member.is_leading)
            await _wait_for_loops()
            assert "a" in member.leader._state.jobs
            cell.clock.advance(2)
            assert await leaders.eventually(
                lambda: "a" not in member.leader._state.jobs
            )

        curio.run(main)


class TestTwoLeaders:
    def test_frozen_leader_that_resumes_neither_writes_nor_orders(self):
        async def main():
            cell = leaders.CellHarness()
            old = await cell.leader("m1")
            worker = leaders.FakeWorker(cell, "w1")
            await _running_task(cell, old, worker)
            await cell.submit(old, "b")
            old.freeze()
            late = await curio.spawn(worker.send_heartbeat, old, 1.0)
            stale = await curio.spawn(cell.submit, old, "stale")
            new = await cell.standby("m2")
            cell.clock.advance(0.08)
            assert await leaders.eventually(lambda: new.is_leading)
            before = len(await cell.events())
            old.freeze(False)
            answer = await stale.join()
            assert answer.kind in (
                outcome.Kind.NOT_LEADER,
                outcome.Kind.STORE_UNAVAILABLE,
            )
            assert answer.ran is outcome.Ran.NO
            ack = await late.join()
            assert not getattr(ack, "start", ())
            await _wait_for_loops()
            new_events = (await cell.events())[before:]
            assert not any(
                isinstance(e, cell_module.JobSubmitted) for e in new_events
            )

        curio.run(main)


class TestStoppedLeader:
    def test_waits_for_the_commit_in_flight(self):
        async def main():
            cell = leaders.CellHarness()
            member = await cell.leader("m1")
            # A renewal, which writes the lease row alone, leaves the fault to
            # the submission.
            member.table.is_targeted = lambda t: len(t.puts) > 1
            member.table.faults = [faultystore.Fault.LATE_ANSWER]
            submission = await curio.spawn(cell.submit, member, "j1")
            assert await leaders.eventually(lambda: not member.table.faults)
            await member.stop()
            answer = await submission.join()
            assert answer == messages.JobAccepted("j1", True)
            reader = celllog.CellLog(
                cell.table, cell.objects, cell.clock, "main", "r", "r", 1.0
            )
            assert (await reader.read_lease()).row.vacated

        curio.run(main)


class TestKilledLeader:
    @pytest.mark.parametrize("step", range(6))
    @pytest.mark.parametrize("fault", [F.LOST_ANSWER, F.LOST_REQUEST])
    def test_before_and_after_each_commit(self, step, fault):
        """Kills the leader at its n-th commit, counted from the submission."""

        async def main():
            cell = leaders.CellHarness()
            old = await cell.leader("m1")
            workers = [leaders.FakeWorker(cell, f"w{n}") for n in (1, 2)]
            await _send_heartbeats(workers, old)
            old.table.faults = [F.NONE] * step + [fault] + [F.DELAYED] * 999
            call = await curio.spawn(_submit_with_timeout, cell, old)
            for _ in range(10):
                await _send_heartbeats(workers, old)
                await curio.sleep(0.01)
            answer = await call.join()
            await old.kill()
            new = await cell.standby("m2")
            cell.clock.advance(0.08)
            assert await leaders.eventually(lambda: new.is_leading)
            await old.table.release()
            again = await cell.submit(new, "a", tasks=3)
            accepted = isinstance(answer, messages.JobAccepted)
            assert not (accepted and again.created)
            await _finish(cell, new, workers)
            runs = [run for worker in workers for run in worker.runs]
            assert not loghistory.violations(await cell.events(), runs, ["a"])
            view = await cell.call(new, messages.ShowJob("a"))
            assert view.state == "completed"

        curio.run(main)


async def _submit_with_timeout(cell, member):
    spec = messages.JobSpec("a", "netting", tasks=3)
    return await cell.call(member, messages.SubmitJob(spec), 0.3)


async def _send_heartbeats(workers, member):
    for worker in workers:
        await worker.send_heartbeat(member, timeout_s=0.5)


async def _finish(cell, member, workers):
    """Sends heartbeats and finishes attempts until every job has ended."""
    for _ in range(500):
        await _send_heartbeats(workers, member)
        for worker in workers:
            worker.finish()
        jobs = member.leader._state.jobs.values()
        if all(job.state.value != "active" for job in jobs):
            return
        await curio.sleep(0.002)
    raise AssertionError("jobs did not end")


class TestHistories:
    @pytest.mark.parametrize("seed", range(8))
    def test_faults_at_every_step(self, seed):
        """Random histories break no rule of `loghistory.violations`.

        Leaders are frozen, cut off from the network or without the table;
        writes are lost or delayed; workers miss heartbeats.
        """

        async def main():
            rng = random.Random(seed)
            cell = leaders.CellHarness()
            members = [await cell.member(f"m{n}") for n in (1, 2, 3)]
            workers = [leaders.FakeWorker(cell, f"w{n}") for n in (1, 2, 3)]
            accepted, calls = [], []
            for step in range(60):
                await _inject_fault(rng, cell, members)
                leading = [member for member in members if member.is_leading]
                target = rng.choice(leading or members)
                if step % 6 == 0:
                    job = f"j{rng.randrange(8)}"
                    call = await curio.spawn(cell.submit, target, job)
                    calls.append((job, call))
                for worker in workers:
                    if rng.random() < 0.7:
                        await worker.send_heartbeat(target, timeout_s=0.02)
                    if rng.random() < 0.1:
                        worker.finish(rng.choice([END.COMPLETED, END.FAILED]))
                cell.clock.advance(rng.choice([0.0, 0.005, 0.02]))
                await curio.sleep(0.002)
            for member in members:
                member.freeze(False)
                member.table.down, member.table.faults = False, []
                await member.table.release()
            for job, call in calls:
                if isinstance(await call.join(), messages.JobAccepted):
                    accepted.append(job)
            accepted.append(await _accepted_by_anyone(cell, members))
            runs = await _finish_without_faults(cell, members, workers)
            events = await cell.events()
            assert not loghistory.violations(events, runs, accepted)
            assert runs, "the history is empty"

        curio.run(main)


async def _accepted_by_anyone(cell, members):
    """Submits a job to all members until one accepts it; returns its id."""
    for _ in range(1000):
        for member in members:
            cell.network.heal(member.name)
            answer = await cell.submit(member, "last")
            if isinstance(answer, messages.JobAccepted):
                return "last"
        cell.clock.advance(0.01)
        await curio.sleep(0.002)
    raise AssertionError("no member became the leader")


async def _inject_fault(rng, cell, members):
    member = rng.choice(members)
    match rng.randrange(8):
        case 0:
            member.freeze(not member.table.frozen)
        case 1:
            member.table.down = not member.table.down
        case 2:
            member.table.faults = rng.choices(list(F), k=3)
        case 3:
            await member.table.release()
        case 4:
            cell.clock.advance(rng.choice([0.05, 0.08, 0.12]))
        case 5:
            cell.network.cut(member.name)
        case _:
            for other in members:
                cell.network.heal(other.name)


async def _finish_without_faults(cell, members, workers):
    """Returns all runs, once all jobs have ended without further faults."""
    for member in members:
        cell.network.heal(member.name)
    for _ in range(3000):
        leading = [member for member in members if member.is_leading]
        for worker in workers:
            worker.expire()
            for member in leading:
                await worker.send_heartbeat(member, timeout_s=0.2)
            worker.finish()
        cell.clock.advance(0.002)
        await curio.sleep(0.002)
        if any(_all_ended(member) for member in leading):
            break
    else:
        raise AssertionError("jobs did not end")
    return [run for worker in workers for run in worker.runs]


def _all_ended(member):
    jobs = member.leader._state.jobs.values()
    return all(job.state.value != "active" for job in jobs)
