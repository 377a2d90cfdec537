from pomelostair import fleet
from pomelostair import pipelinereconciliation


def known(worker, life=1):
    return fleet.KnownIncarnation(worker, life)


def begin(agents, unreadable=()):
    reconciliation = pipelinereconciliation.Reconciliation()
    reconciliation.begin(
        {
            name: fleet.Registration("bus", tuple(lives))
            for name, lives in agents.items()
        },
        unreadable,
    )
    return reconciliation


class TestBegin:
    def test_agents_without_incarnations_run_nothing(self):
        assert begin({"a": []}).is_complete

    def test_all_incarnations_are_expected(self):
        reconciliation = begin({"a": [known("w1"), known("w2")]})
        assert reconciliation.agents == ("a",)
        assert reconciliation.keys == [("w1", 1), ("w2", 1)]


class TestMayRunWork:
    def test_only_workers_that_are_not_accounted_for(self):
        reconciliation = begin({"a": [known("w1"), known("w2")]})
        reconciliation.account_for("a", lambda k: k.worker == "w1")
        assert not reconciliation.may_run_work(("w1", 1))
        assert reconciliation.may_run_work(("w2", 1))
        reconciliation.drop("a")
        assert reconciliation.is_complete
        assert not reconciliation.may_run_work(("w2", 1))

    def test_successor_with_the_same_id_leaves_a_worker_open(self):
        reconciliation = begin({"a": [known("w1", 2)]})
        assert reconciliation.may_run_work(("w1", 1))

    def test_malformed_registration_may_be_that_of_any_worker(self):
        reconciliation = begin({}, ["a"])
        assert reconciliation.may_run_work(("w1", 1))
        reconciliation.account_for("a", lambda _: True)
        assert reconciliation.may_run_work(("w1", 1))
        reconciliation.drop("a")
        assert not reconciliation.may_run_work(("w1", 1))


class TestExpire:
    def test_each_worker_is_dropped_when_its_own_leases_have_lapsed(self):
        reconciliation = begin({"a": [known("w1"), known("w2")]}, ["b"])
        ends_s = {("w1", 1): 5.0, ("w2", 1): 9.0, None: 9.0}
        assert reconciliation.expire(4.0, ends_s.get) == []
        assert reconciliation.expire(6.0, ends_s.get) == [("a", (known("w1"),))]
        assert reconciliation.may_run_work(("w2", 1))
        assert reconciliation.expire(10.0, ends_s.get) == [
            ("b", ()),
            ("a", (known("w2"),)),
        ]
        assert reconciliation.is_complete
