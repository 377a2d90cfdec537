from pomelostair import messages
from pomelostair import reports

A, B = ("a/0", 1), ("b/0", 1)


def resident(kind, cores):
    size = messages.Size(cores, 100)
    return reports.RunningAttempt(kind, messages.Urgency.BATCH, size, 1.0)


def scene(at_s, *keys):
    return reports.WorkerSnapshot(
        at_s, {key: resident(key[0], 8.0) for key in keys}
    )


class TestWorkerReports:
    def test_a_reading_counts_once(self):
        found = reports.WorkerReports()
        assert found.accept_reading(A, 5.0)
        assert not found.accept_reading(A, 5.0)
        assert found.accept_reading(A, 6.0)

    def test_a_lagging_reading_meets_what_ran_then(self):
        found = reports.WorkerReports()
        for at_s in (1.0, 2.0):
            found.add_snapshot(scene(at_s, A))
        for at_s in (3.0, 4.0):
            found.add_snapshot(scene(at_s, A, B))
        assert found.snapshot_at(1.5).attempts.keys() == {A}
        assert found.snapshot_at(3.5).attempts.keys() == {A, B}

    def test_a_reading_amid_a_change_meets_nothing(self):
        found = reports.WorkerReports()
        found.add_snapshot(scene(1.0, A))
        found.add_snapshot(scene(2.0, A, B))
        assert found.snapshot_at(1.5) is None
        assert found.snapshot_at(0.5) is None


class TestLoads:
    def test_leaves_the_victim_out(self):
        loads = reports.neighbour_loads(
            scene(1.0, A, B), A, messages.Size(32.0, 1)
        )
        assert loads == {"b/0": 0.25}
