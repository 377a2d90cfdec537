from pomelostair import blame


class TestFail:
    def test_a_failing_task_waits_longer_each_time(self):
        found = blame.Blame()
        waits = []
        for number, worker in enumerate(("w1", "w2", "w3")):
            assert not found.fail("j/0", "bad", worker, 100.0 * number)
            waits.append(found.not_before("j/0") - 100.0 * number)
        assert waits == [1.0, 2.0, 4.0]
        assert found.avoided("j/0") == {"w1", "w2", "w3"}

    def test_kinds_that_fail_in_a_row_blame_the_worker(self):
        found = blame.Blame()
        assert not found.fail("a/0", "a", "w1", 0.0)
        assert not found.fail("b/0", "b", "w1", 0.0)
        assert found.fail("c/0", "c", "w1", 0.0)
        assert found.standing("w1", 1.0) is blame.Standing.QUARANTINED
        assert found.not_before("c/0") == 0.0

    def test_a_kind_that_completes_elsewhere_blames_the_worker(self):
        found = blame.Blame()
        found.complete("a/9", "a", "w2")
        for number in range(2):
            assert not found.fail(f"a/{number}", "a", "w1", 0.0)
        assert found.fail("a/2", "a", "w1", 0.0)

    def test_one_bad_kind_blames_no_worker(self):
        found = blame.Blame()
        assert not any(
            found.fail(f"a/{number}", "a", "w1", 0.0) for number in range(9)
        )

    def test_a_probe_ends_or_doubles_the_quarantine(self):
        found = blame.Blame()
        for kind in ("a", "b", "c"):
            found.fail(f"{kind}/0", kind, "w1", 0.0)
        assert found.standing("w1", 31.0) is blame.Standing.PROBED
        assert found.fail("d/0", "d", "w1", 31.0)
        assert found.standing("w1", 80.0) is blame.Standing.QUARANTINED
        assert found.complete("e/0", "e", "w1")
        assert found.standing("w1", 81.0) is blame.Standing.TRUSTED
