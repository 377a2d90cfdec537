from pomelostair import messages
from pomelostair import reports

A, B = ("a/0", 1), ("b/0", 1)


def resident(kind, cores):
    size = messages.Size(cores, 100)
    return reports.Resident(kind, messages.Urgency.BATCH, size, 1.0)


def scene(at_s, *keys):
    return reports.Scene(at_s, {key: resident(key[0], 8.0) for key in keys})


class TestWorkerReports:
    def test_a_reading_counts_once(self):
        found = reports.WorkerReports()
        assert found.fresh(A, 5.0)
        assert not found.fresh(A, 5.0)
        assert found.fresh(A, 6.0)

    def test_a_lagging_reading_meets_what_ran_then(self):
        found = reports.WorkerReports()
        for at_s in (1.0, 2.0):
            found.take(scene(at_s, A))
        for at_s in (3.0, 4.0):
            found.take(scene(at_s, A, B))
        assert found.at(1.5).residents.keys() == {A}
        assert found.at(3.5).residents.keys() == {A, B}

    def test_a_reading_amid_a_change_meets_nothing(self):
        found = reports.WorkerReports()
        found.take(scene(1.0, A))
        found.take(scene(2.0, A, B))
        assert found.at(1.5) is None
        assert found.at(0.5) is None


class TestLoads:
    def test_leaves_the_victim_out(self):
        loads = reports.loads(scene(1.0, A, B), A, messages.Size(32.0, 1))
        assert loads == {"b/0": 0.25}
