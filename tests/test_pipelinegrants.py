from pomelostair import fleet
from pomelostair import pipelinegrants
from tests import pipelines

MAX_LEASE_S = 7.9
LEASES_END_S = 108.0
KEY = ("w1", 1)


def begin(listed=(), announced=True):
    """Returns the grants of a term whose earlier leases lapse at 110 s."""
    grants = pipelinegrants.Grants(MAX_LEASE_S)
    grants.begin(dict(listed), 110.0)
    if announced:
        grants.next_silent({}, list(dict(listed)), 100.0)
        grants.confirm(LEASES_END_S)
    return grants


def workers_granted_at(granted_s):
    worker = pipelines.worker("w1")
    worker.grant_lease(granted_s)
    return {KEY: worker}


class TestEarlierLeases:
    def test_listed_worker_lapses_as_stored_and_others_later(self):
        grants = begin({KEY: 104.0})
        assert grants.earlier_lapse_s(KEY) == 104.0
        assert grants.earlier_lapse_s(("w2", 1)) == 110.0
        assert grants.earlier_lapse_s() == 110.0

    def test_no_lease_outlasts_that_of_the_last_leader(self):
        assert begin({KEY: 200.0}).earlier_lapse_s(KEY) == 110.0


class TestMayGrant:
    def test_nothing_is_granted_before_the_first_row_of_the_term(self):
        """Guards against leases that the next leader does not know of.

        The row of a leader that has just acquired it says that the grants of
        its predecessor were the last ones.
        """
        grants = begin(announced=False)
        assert not grants.may_grant(KEY)
        grants.next_silent({}, [], 100.0)
        assert not grants.may_grant(KEY)
        grants.cancel()
        assert not grants.may_grant(KEY)
        grants.confirm(LEASES_END_S)
        assert grants.may_grant(KEY)

    def test_worker_listed_by_the_last_leader_waits_for_a_row_without_it(self):
        grants = begin({KEY: 104.0})
        assert not grants.may_grant(KEY)
        assert grants.may_grant(("w2", 1))
        assert not grants.next_silent(workers_granted_at(100.0), [], 100.1)
        assert not grants.may_grant(KEY)
        grants.confirm(LEASES_END_S)
        assert grants.may_grant(KEY)

    def test_list_that_is_being_stored_counts(self):
        grants = begin()
        assert grants.may_grant(KEY)
        listed = grants.next_silent(workers_granted_at(100.0), [], 103.0)
        assert listed == {KEY: 100.0 + MAX_LEASE_S}
        assert not grants.may_grant(KEY)
        grants.cancel()
        assert grants.may_grant(KEY)

    def test_failed_commit_leaves_the_stored_list_in_force(self):
        grants = begin({KEY: 104.0})
        grants.next_silent({}, [], 101.0)
        grants.cancel()
        assert not grants.may_grant(KEY)


class TestLength:
    def test_lease_lapses_before_the_end_that_the_stored_row_names(self):
        """Guards against adding the leader's lease to those of its workers."""
        grants = begin()
        for now in (100.0, 101.0, 104.0):
            lease_s = pipelinegrants.longest_lease_s(grants.grant_ms(now))
            assert lease_s <= min(MAX_LEASE_S, LEASES_END_S - now)
            assert lease_s > min(MAX_LEASE_S, LEASES_END_S - now) - 0.01

    def test_nothing_is_granted_at_that_end(self):
        grants = begin()
        assert grants.grant_ms(LEASES_END_S - 0.1) == 0
        assert grants.grant_ms(LEASES_END_S + 1.0) == 0


class TestListSilent:
    def test_worker_with_recent_grants_is_not_listed(self):
        recent_s = 100.0 + fleet.SILENT_S - 0.1
        workers = workers_granted_at(100.0)
        assert not begin().next_silent(workers, [], recent_s)

    def test_unreported_worker_keeps_its_earlier_end(self):
        grants = begin({KEY: 104.0})
        listed = grants.next_silent({}, [KEY, ("w2", 1)], 100.0)
        assert listed == {KEY: 104.0, ("w2", 1): 110.0}

    def test_worker_of_this_term_is_not_listed_with_an_earlier_end(self):
        """Another agent's registration may name it, too."""
        workers = workers_granted_at(103.0)
        grants = begin({KEY: 104.0})
        assert not grants.next_silent(workers, [KEY], 103.1)
        listed = grants.next_silent(workers, [KEY], 106.0)
        assert listed == {KEY: 103.0 + MAX_LEASE_S}

    def test_reported_worker_without_a_grant_keeps_its_earlier_end(self):
        """Guards against waits that begin anew for a worker that is dead.

        Its agent still reports it to the next leader, as one that it can't
        reach.
        """
        workers = {KEY: pipelines.worker("w1", now=103.0)}
        for now in (103.1, 106.0):
            listed = begin({KEY: 104.0}).next_silent(workers, [KEY], now)
            assert listed == {KEY: 104.0}

    def test_its_size_is_bounded(self):
        keys = [(f"w{n}", 1) for n in range(pipelinegrants.MAX_LISTED + 5)]
        listed = begin().next_silent({}, keys, 105.0)
        assert len(listed) == pipelinegrants.MAX_LISTED
