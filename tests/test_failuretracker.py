from pomelostair import failuretracker


class TestRecordFailure:
    def test_backoff_of_a_failing_task_doubles(self):
        tracker = failuretracker.FailureTracker()
        backoffs_s = []
        for number, worker in enumerate(("w1", "w2", "w3")):
            assert not tracker.record_failure(
                "j/0", "bad", worker, 100.0 * number
            )
            backoffs_s.append(tracker.earliest_start_s("j/0") - 100.0 * number)
        assert backoffs_s == [1.0, 2.0, 4.0]
        assert tracker.failed_workers("j/0") == {"w1", "w2", "w3"}

    def test_failures_of_different_kinds_quarantine_the_worker(self):
        tracker = failuretracker.FailureTracker()
        assert not tracker.record_failure("a/0", "a", "w1", 0.0)
        assert not tracker.record_failure("b/0", "b", "w1", 0.0)
        assert tracker.record_failure("c/0", "c", "w1", 0.0)
        assert (
            tracker.worker_status("w1", 1.0)
            is failuretracker.WorkerStatus.QUARANTINED
        )
        assert tracker.earliest_start_s("c/0") == 0.0

    def test_failures_of_a_kind_that_completes_elsewhere_quarantine_the_worker(
        self,
    ):
        tracker = failuretracker.FailureTracker()
        tracker.record_completion("a/9", "a", "w2")
        for number in range(2):
            assert not tracker.record_failure(f"a/{number}", "a", "w1", 0.0)
        assert tracker.record_failure("a/2", "a", "w1", 0.0)

    def test_failures_of_one_kind_do_not_quarantine_the_worker(self):
        tracker = failuretracker.FailureTracker()
        assert not any(
            tracker.record_failure(f"a/{number}", "a", "w1", 0.0)
            for number in range(9)
        )

    def test_probe_ends_or_doubles_the_quarantine(self):
        tracker = failuretracker.FailureTracker()
        for kind in ("a", "b", "c"):
            tracker.record_failure(f"{kind}/0", kind, "w1", 0.0)
        assert (
            tracker.worker_status("w1", 31.0)
            is failuretracker.WorkerStatus.PROBED
        )
        assert tracker.record_failure("d/0", "d", "w1", 31.0)
        assert (
            tracker.worker_status("w1", 80.0)
            is failuretracker.WorkerStatus.QUARANTINED
        )
        assert tracker.record_completion("e/0", "e", "w1")
        assert (
            tracker.worker_status("w1", 81.0)
            is failuretracker.WorkerStatus.TRUSTED
        )
