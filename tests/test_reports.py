from pomelostair import messages
from pomelostair import reports

A, B = ("a/0", 1), ("b/0", 1)


def running_attempt(kind, cores):
    size = messages.Size(cores, 100)
    return reports.RunningAttempt(kind, messages.Urgency.BATCH, size, 1.0)


def snapshot(at_s, *keys):
    return reports.WorkerSnapshot(
        at_s, {key: running_attempt(key[0], 8.0) for key in keys}
    )


class TestWorkerReports:
    def test_reading_is_accepted_once(self):
        worker_reports = reports.WorkerReports()
        assert worker_reports.accept_reading(A, 5.0)
        assert not worker_reports.accept_reading(A, 5.0)
        assert worker_reports.accept_reading(A, 6.0)

    def test_delayed_reading_gets_the_snapshot_of_its_time(self):
        worker_reports = reports.WorkerReports()
        for at_s in (1.0, 2.0):
            worker_reports.add_snapshot(snapshot(at_s, A))
        for at_s in (3.0, 4.0):
            worker_reports.add_snapshot(snapshot(at_s, A, B))
        assert worker_reports.snapshot_at(1.5).attempts.keys() == {A}
        assert worker_reports.snapshot_at(3.5).attempts.keys() == {A, B}

    def test_reading_during_a_change_gets_no_snapshot(self):
        worker_reports = reports.WorkerReports()
        worker_reports.add_snapshot(snapshot(1.0, A))
        worker_reports.add_snapshot(snapshot(2.0, A, B))
        assert worker_reports.snapshot_at(1.5) is None
        assert worker_reports.snapshot_at(0.5) is None


class TestNeighbourLoads:
    def test_victim_is_left_out(self):
        loads = reports.neighbour_loads(
            snapshot(1.0, A, B), A, messages.Size(32.0, 1)
        )
        assert loads == {"b/0": 0.25}
