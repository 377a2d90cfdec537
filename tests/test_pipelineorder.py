"""Order of pipelines in a burst of far more work than capacity.

Guards against serving pipelines in order of arrival, in which each one
finishes just too late.
"""

from pomelostair import pipeline
from pomelostair import pipelineorder
from tests import pipelines


def make_pipeline(name, submitted_ms, *stages, queue="recast", **fields):
    declared = pipelines.declare(
        name, *stages, queue=queue, submitted_ms=submitted_ms, **fields
    )
    return pipeline.Pipeline(
        declared, 1, pipeline.Progress(), submitted_ms / 1000
    )


def rank(item, now_ms, queue=pipelines.QUEUE):
    return pipelineorder.rank(item, queue, now_ms / 1000)


class TestRank:
    def test_pipelines_in_time_go_before_late_ones(self):
        fresh = make_pipeline("fresh", 9_000)
        late = make_pipeline("late", 4_000)
        expired = make_pipeline("expired", -90_000)
        ranked = sorted(
            (expired, late, fresh), key=lambda item: rank(item, 10_000).key
        )
        assert [item.id for item in ranked] == ["fresh", "late", "expired"]

    def test_queue_of_higher_priority_goes_first(self):
        urgent = make_pipeline("urgent", 9_000, queue="fit")
        other = make_pipeline("other", 5_000)
        first = rank(urgent, 9_000, pipelines.URGENT)
        assert first.key < rank(other, 9_000).key

    def test_least_slack_goes_first(self):
        short = make_pipeline("short", 9_000)
        long = make_pipeline("long", 9_000, pipelines.stage(estimate_ms=500))
        waited = make_pipeline("waited", 8_000)
        assert rank(waited, 9_500).key < rank(short, 9_500).key
        assert rank(long, 9_500).slack_s < rank(short, 9_500).slack_s

    def test_started_pipeline_goes_before_new_one(self):
        started = make_pipeline("started", 0, pipelines.stage(8))
        for task in started.tasks(0, 0)[:4]:
            started.place(task, 1)
            started.finish(task, 1.0, 1000)
        fresh = make_pipeline("fresh", -500, pipelines.stage(8))
        assert rank(started, 500).key < rank(fresh, 500).key

    def test_finished_stages_do_not_count_as_remaining(self):
        item = make_pipeline(
            "a", 0, pipelines.stage(), pipelines.stage(after=(0,))
        )
        before = pipelineorder.remaining_s(item)
        task = item.tasks(0, 0)[0]
        item.place(task, 1)
        item.finish(task, 1.0, 1000)
        assert before == 2.0
        assert pipelineorder.remaining_s(item) == 1.0

    def test_lasting_pipeline_has_no_deadline(self):
        item = make_pipeline("a", 0, pipelines.stage(lasting=True))
        assert rank(item, 1e9).outlook is pipelineorder.Outlook.IN_TIME

    def test_rank_serves_more_of_a_burst_in_time_than_arrival_order(self):
        assert self.served_in_time(by_rank=True) > self.served_in_time(
            by_rank=False
        )

    def served_in_time(self, by_rank):
        """Simulates a burst and returns the number of pipelines in time.

        Three times the capacity arrives for 20 s; pipelines of 1 s run one at
        a time.
        """
        waiting = [make_pipeline(f"p{n}", n * 333) for n in range(60)]
        now_ms = 0
        in_time = 0
        while waiting:
            arrived = [
                i for i in waiting if i.declaration.submitted_ms <= now_ms
            ]
            if not arrived:
                now_ms += 100
                continue
            chosen = arrived[0]
            if by_rank:
                chosen = min(arrived, key=lambda i: rank(i, now_ms).key)
            waiting.remove(chosen)
            now_ms += 1000
            age_ms = now_ms - chosen.declaration.submitted_ms
            in_time += age_ms <= 2.0 * 1000 + 1000
        return in_time
