from pomelostair import failuretracker


class TestFail:
    def test_a_failing_task_waits_longer_each_time(self):
        found = failuretracker.FailureTracker()
        waits = []
        for number, worker in enumerate(("w1", "w2", "w3")):
            assert not found.record_failure(
                "j/0", "bad", worker, 100.0 * number
            )
            waits.append(found.earliest_start_s("j/0") - 100.0 * number)
        assert waits == [1.0, 2.0, 4.0]
        assert found.failed_workers("j/0") == {"w1", "w2", "w3"}

    def test_kinds_that_fail_in_a_row_blame_the_worker(self):
        found = failuretracker.FailureTracker()
        assert not found.record_failure("a/0", "a", "w1", 0.0)
        assert not found.record_failure("b/0", "b", "w1", 0.0)
        assert found.record_failure("c/0", "c", "w1", 0.0)
        assert (
            found.worker_status("w1", 1.0)
            is failuretracker.WorkerStatus.QUARANTINED
        )
        assert found.earliest_start_s("c/0") == 0.0

    def test_a_kind_that_completes_elsewhere_blames_the_worker(self):
        found = failuretracker.FailureTracker()
        found.record_completion("a/9", "a", "w2")
        for number in range(2):
            assert not found.record_failure(f"a/{number}", "a", "w1", 0.0)
        assert found.record_failure("a/2", "a", "w1", 0.0)

    def test_one_bad_kind_blames_no_worker(self):
        found = failuretracker.FailureTracker()
        assert not any(
            found.record_failure(f"a/{number}", "a", "w1", 0.0)
            for number in range(9)
        )

    def test_a_probe_ends_or_doubles_the_quarantine(self):
        found = failuretracker.FailureTracker()
        for kind in ("a", "b", "c"):
            found.record_failure(f"{kind}/0", kind, "w1", 0.0)
        assert (
            found.worker_status("w1", 31.0)
            is failuretracker.WorkerStatus.PROBED
        )
        assert found.record_failure("d/0", "d", "w1", 31.0)
        assert (
            found.worker_status("w1", 80.0)
            is failuretracker.WorkerStatus.QUARANTINED
        )
        assert found.record_completion("e/0", "e", "w1")
        assert (
            found.worker_status("w1", 81.0)
            is failuretracker.WorkerStatus.TRUSTED
        )
