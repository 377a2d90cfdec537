"""Waits for places near the data: when they pay, and what ends them."""

import math
import random

import pytest

from pomelostair import attempts
from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelinelocality
from pomelostair import pipelineplacement
from pomelostair import pipelinestarts
from pomelostair import workerspeed
from tests import pipelines
from tests import simfleet

METRICS = metrics.Metrics()
CORES = 4
LONG_MS = 60_000


class Site:
    """Racks r1 and r2 of two workers each; those of r1 are full.

    Args:
        remote_factor: Factor on the run time far from the data.
        left_ms: Time until what fills r1 ends.
    """

    def __init__(self, remote_factor=3.0, left_ms=1000):
        pacer = pacing.Pacer(METRICS)
        self.pacer = pacer
        self.attempts = attempts.Attempts(pacer, METRICS)
        self.starter = pipelinestarts.Starter(
            1, self.attempts, pacer, METRICS, lambda item: None, remote_factor
        )
        self.workers = []
        self.lost = []
        for name, rack in (("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")):
            worker = pipelines.worker(name, cores=CORES)
            worker.state = pipelines.worker_state(name, cores=CORES, rack=rack)
            self.workers.append(worker)
        self.near, self.far = self.workers[:2], self.workers[2:]
        self.filling = [
            pipelines.place(
                worker,
                pipelines.stage(millicores=1000, estimate_ms=left_ms),
                now=1.0,
            )
            for worker in self.near
            for _ in range(CORES)
        ]

    def submit(self, name="p", ready_s=1.0, **fields):
        """Returns a pipeline; its tasks are ready, with their data in r1."""
        fields = {"rack": "r1", "estimate_ms": 2000, **fields}
        return pipeline.Pipeline(
            pipelines.declare(name, pipelines.stage(**fields)),
            1,
            pipeline.Progress(),
            ready_s,
        )

    def round(self, *items, now=1.0):
        """Runs a round; returns the racks of what runs of each pipeline."""
        for worker in self.workers:
            if worker not in self.lost:
                worker.last_report_s = worker.last_listed_s = now
        self.starter.start_ready(items, self.workers, pipelines.TABLE, {}, now)
        return [
            [
                placement.worker.state.rack
                for task in item.tasks(0, 0)
                for placement in self.attempts.of_task(task)
            ]
            for item in items
        ]


def choice(**fields):
    defaults = {
        "near_s": 2.0,
        "far_s": 6.0,
        "bound_s": 4.0,
        "room_s": 1.0,
        "waited_s": 0.0,
        "ready_for_s": 0.0,
        "idle": False,
        "slack_s": 100.0,
        "far_is_spare": True,
    }
    return pipelinelocality.Choice(**{**defaults, **fields})


class TestDecision:
    @pytest.mark.parametrize(
        ("fields", "waits_s"),
        [
            ({}, 4.0),
            ({"waited_s": 2.0}, 2.0),
            ({"waited_s": 4.0}, 0.0),
            ({"far_s": 60.0}, 4.0),  # The far worker is slow, too.
            ({"room_s": math.inf}, 0.0),
            ({"room_s": 3.0}, 0.0),
            ({"room_s": 3.0, "far_is_spare": False}, 4.0),
            ({"idle": True, "ready_for_s": 0.4}, 1.6),
            ({"idle": True, "ready_for_s": 1.0}, 0.0),
            ({"far_s": 2.0}, 0.0),
            ({"room_s": 2.0, "slack_s": 4.0}, 4.0),
            ({"room_s": 2.0, "slack_s": 2.9, "far_s": 4.5}, 0.0),
            ({"near_s": 0.0, "far_s": 0.0}, 0.0),
        ],
    )
    def test_wait_is_bounded_by_the_loss_and_by_idleness(self, fields, waits_s):
        assert pipelinelocality.wait_s(choice(**fields)) == pytest.approx(
            waits_s
        )


class TestExpectedEnds:
    @pytest.mark.parametrize(
        ("fields", "now", "left_s"),
        [
            ({"progress_percent": 75.0}, 2.0, 0.5),
            ({"progress_percent": 99.0}, 10.0, 7.0),  # Far over its estimate.
            ({"progress_percent": 500.0}, 2.0, 0.0),
            ({"progress_percent": -9.0}, 2.0, 2.0),
            ({"pace_percent": 50}, 2.0, 4.0),
            ({"pace_percent": 0}, 2.0, math.inf),
            ({"state": fleet.AttemptState.STOPPING}, 2.0, 0.4),
            (
                {
                    "state": fleet.AttemptState.STOPPING,
                    "stopping_since_s": 1.5,
                },
                31.5,
                30.0,
            ),
        ],
    )
    def test_false_percent_and_estimate_do_not_promise_room(
        self, fields, now, left_s
    ):
        placement = pipelines.place(
            pipelines.worker(),
            pipelines.stage(estimate_ms=2000),
            now=1.0,
            **fields,
        )
        assert pipelinelocality.expected_left_s(
            placement, 3.0, now
        ) == pytest.approx(left_s)

    @pytest.mark.parametrize(("now", "left_s"), [(2.0, 10.0), (91.0, 90.0)])
    def test_attempt_without_estimate_promises_room_ever_later(
        self, now, left_s
    ):
        placement = pipelines.place(
            pipelines.worker(), pipelines.stage(estimate_ms=0), now=1.0
        )
        assert pipelinelocality.expected_left_s(
            placement, 3.0, now
        ) == pytest.approx(left_s)


class TestHotRack:
    def test_factor_decides_whether_a_task_waits(self):
        assert Site(3.0).round(Site().submit()) == [[]]
        assert Site(1.5).round(Site().submit()) == [["r2"]]
        assert Site(1.0).round(Site().submit()) == [["r2"]]

    def test_only_those_wait_for_whom_room_is_expected_in_time(self):
        # Eight rooms in 1 s and eight more 2 s later; idle ones wait for 2 s.
        site = Site()
        items = [site.submit(f"p{n:02}") for n in range(12)]
        racks = site.round(*items)
        assert racks == [[]] * 8 + [["r2"]] * 4

    def test_demand_without_any_room_is_ahead_of_others(self):
        site = Site()
        for worker in site.far:
            pipelines.place(worker, pipelines.stage(millicores=3000), now=1.0)
        ahead = site.submit("a", millicores=2000, count=8)
        assert site.round(ahead, site.submit("b")) == [[], ["r2"]]

    def test_room_that_becomes_free_is_used_at_once(self):
        site = Site()
        item = site.submit()
        assert site.round(item) == [[]]
        site.near[0].remove(site.filling[0])
        assert site.round(item, now=1.3) == [["r1"]]

    def test_idle_pipeline_starts_far_when_estimates_were_wrong(self):
        site = Site()
        item = site.submit(estimate_ms=LONG_MS)
        assert site.round(item) == [[]]
        assert site.round(item, now=1.0 + pipelineplacement.MAX_IDLE_S) == [
            ["r2"]
        ]

    @pytest.mark.parametrize("stopping", [False, True])
    def test_endless_attempts_do_not_hold_a_task_back(self, stopping):
        """Guards against a wait for its whole bound of 120 s.

        What fills the rack has no estimate, or its stop hangs.
        """
        site = Site(left_ms=0)
        if stopping:
            for placement in site.filling:
                placement.state = fleet.AttemptState.STOPPING
        item = site.submit(estimate_ms=LONG_MS, count=2)
        started_s = None
        first = item.tasks(0, 0)[0]
        site.attempts.attach(fleet.Placement(first, 1, site.far[0], 1.0))
        for step in range(1000):
            now = 1.0 + step / 10
            for placement in site.attempts.of_task(first):
                placement.state = fleet.AttemptState.RUNNING
                placement.reported = True
            if any(map(len, site.round(item, now=now)[0][1:])):
                started_s = now
                break
        assert started_s is not None
        assert 10.0 < started_s < 82.0

    def test_end_expected_now_is_no_room_already(self):
        site = Site()
        for placement in site.filling:
            placement.progress_percent = 100.0
        assert site.round(site.submit()) == [[]]

    def test_time_without_any_room_does_not_count_as_a_wait(self):
        """Guards against a bound that is spent before there is a choice."""
        site = Site()
        item = site.submit(count=2)
        running = item.tasks(0, 0)[0]
        site.attempts.attach(
            fleet.Placement(
                running,
                1,
                pipelines.worker("x", last_report_s=99.0, last_listed_s=99.0),
                1.0,
                reported=True,
                state=fleet.AttemptState.RUNNING,
            )
        )
        assert site.round(item) == [["r1"]]
        full = [
            pipelines.place(worker, pipelines.stage(millicores=4000), now=1.1)
            for worker in site.far
        ]
        for placement in site.filling:
            placement.ordered_s = 8.8
        assert site.round(item, now=2.0) == [["r1"]]
        for placement in full:
            placement.worker.remove(placement)
        # Room in r1 is expected 1 s from now; the bound is 4 s.
        assert site.round(item, now=9.0) == [["r1"]]

    def test_serving_score_of_a_task_with_a_rack_is_kept(self):
        """Guards against a factor that outweighs the packing of services.

        A lasting task has no run time that could grow.
        """
        site = Site()
        item = site.submit(
            lasting=True, estimate_ms=0, latency_target_ms=50, image="a"
        )
        task = item.tasks(0, 0)[0]
        scores = [
            [
                pipelineplacement.score(task, worker, 1.0, factor)
                for worker in site.workers
            ]
            for factor in (1.0, 3.0)
        ]
        assert scores[0] == scores[1]

    def test_lasting_task_does_not_wait(self):
        site = Site()
        item = site.submit(lasting=True, estimate_ms=LONG_MS)
        assert site.round(item, now=1.4) == [["r2"]]


def record_searches(monkeypatch):
    """Returns a list that grows by one with each worker that is searched."""
    searched = []
    search = pipelinelocality.Locality._worker_room_times
    monkeypatch.setattr(
        pipelinelocality.Locality,
        "_worker_room_times",
        lambda *arguments: searched.append(1) or search(*arguments),
    )
    return searched


class TestBound:
    @pytest.mark.parametrize(
        "fields", [{"count": 2}, {"count": 6, "gang": True, "same_rack": True}]
    )
    def test_wait_beside_running_work_ends_with_the_loss(self, fields):
        """Guards against room that is promised for ever.

        The attempts that fill the rack are always about to end. The pipeline
        is not idle, so that only the loss at a far place bounds the wait.
        """
        site = Site()
        e = pipelines.worker("e", cores=CORES)
        e.state = pipelines.worker_state("e", cores=CORES, rack="r3")
        site.workers.append(e)
        for worker in (*site.far, e):
            pipelines.place(worker, pipelines.stage(millicores=1500), now=1.0)
        item = site.submit(
            **fields, rack="" if "gang" in fields else "r1", estimate_ms=2000
        )
        other = fleet.Placement(
            item.tasks(0, 0)[0],
            9,
            pipelines.worker("x", last_report_s=99.0, last_listed_s=99.0),
            1.0,
            reported=True,
            state=fleet.AttemptState.RUNNING,
        )
        if "gang" in fields:
            site.attempts.any_live = lambda item, now: True
        else:
            site.attempts.attach(other)
        waited = []
        for step in range(60):
            now = 1.0 + step / 10
            for placement in site.filling:
                placement.ordered_s = now
                placement.progress_percent = 90.0
            (racks,) = site.round(item, now=now)
            waited.append(len(racks) == (0 if "gang" in fields else 1))
        # The work takes 2 s, and three times as long at a far place.
        # The wait ends when less is left of that than the room would take.
        assert waited == sorted(waited, reverse=True)
        assert 38 <= sum(waited) <= 41


class TestExpectedRoom:
    def test_spread_limit_counts_what_runs(self):
        """Guards against a wait for room beyond the spread limit."""
        site = Site()
        fields = {"most_per_worker": 2, "rack": "r1", "estimate_ms": 2000}
        item = site.submit(count=6, **fields)
        for worker, task in zip(site.near, item.tasks(0, 0), strict=False):
            placement = fleet.Placement(task, 1, worker, 1.0)
            placement.pace_percent = 0
            site.attempts.attach(placement)
        locality = pipelinelocality.Locality(3.0, site.workers, 1.0)
        for worker in site.workers:
            worker.last_report_s = worker.last_listed_s = 1.0
        times = locality._room_times(item.tasks(0, 0)[-1], "r1")
        assert len(times) == len(site.near)

    def test_room_depends_on_the_estimate_where_workers_are_cold(self):
        """Guards against a short task that waits for a slow worker."""
        site = Site()
        for worker in site.near:
            worker.speed, worker.cold_until_s = 0.25, 2.0
        locality = pipelinelocality.Locality(3.0, site.workers, 1.0)
        counts = [
            len(
                locality._room_times(
                    site.submit(estimate_ms=estimate_ms).tasks(0, 0)[0], "r1"
                )
            )
            for estimate_ms in (LONG_MS, 100)
        ]
        assert counts == [2 * CORES, 0]


class TestCost:
    def test_decision_is_kept_for_a_while(self, monkeypatch):
        """Guards against a comparison with all workers in each round."""
        site = Site()
        items = [site.submit(f"p{n}", millicores=500 + n) for n in range(4)]
        assert site.round(*items) == [[]] * 4
        searched = record_searches(monkeypatch)
        compared = pipelines.record_comparisons(monkeypatch)
        assert site.round(*items, now=1.1) == [[]] * 4
        assert not searched
        assert len(compared) == len(items) * len(site.near)
        now = 1.01 + pipelinelocality.KEEP_DECISION_S
        assert site.round(*items, now=now) == [[]] * 4
        assert searched

    def test_kept_decisions_are_ahead_of_later_ones(self):
        site = Site()
        items = [site.submit(f"p{n:02}") for n in range(8)]
        assert site.round(*items) == [[]] * 8
        later = site.submit("q", ready_s=1.1)
        assert site.round(*items, later, now=1.1)[-1] == ["r2"]

    def test_searches_of_a_round_are_bounded(self, monkeypatch):
        site = Site()
        monkeypatch.setattr(pipelinelocality, "MAX_SEARCHED_WORKERS", 5)
        searched = record_searches(monkeypatch)
        items = [site.submit(f"p{n}", millicores=500 + n) for n in range(6)]
        assert site.round(*items) == [[]] * 3 + [["r2"]] * 3
        assert len(searched) == 6


class TestEndOfReason:
    @pytest.mark.parametrize(
        ("lose", "racks"),
        [
            (lambda site, worker: None, []),
            (lambda site, worker: site.lost.append(worker), ["r2"]),
            (lambda site, worker: setattr(worker, "speed", 1 / 8), ["r2"]),
            (
                lambda site, worker: setattr(worker, "suspect_until_s", 99.0),
                ["r2"],
            ),
            (
                lambda site, worker: setattr(
                    worker,
                    "state",
                    pipelines.worker_state(worker.id, rack="r1", draining=True),
                ),
                ["r2"],
            ),
            (lambda site, worker: setattr(worker, "evacuated", True), ["r2"]),
        ],
        ids=["unchanged", "silent", "slow", "suspect", "draining", "evacuated"],
    )
    def test_wait_ends_with_the_rack(self, lose, racks):
        site = Site()
        for placement in site.filling:
            placement.progress_percent = 90.0
        item = site.submit()
        assert site.round(item) == [[]]
        for worker in site.near:
            lose(site, worker)
        assert site.round(item, now=2.3) == [racks]

    def test_far_place_is_better_than_a_much_slower_near_one(self):
        site = Site()
        for worker in site.near:
            worker.speed = 1 / 8
        for placement in site.filling:
            placement.worker.remove(placement)
        assert site.round(site.submit()) == [["r2"]]

    def test_slow_workers_of_a_rack_do_not_hide_its_others(self):
        site = Site()
        site.near[0].speed = 1 / 8
        assert site.round(site.submit()) == [[]]


class TestGangs:
    def test_gang_waits_for_a_common_rack(self):
        site = Site()
        for worker in site.far:
            pipelines.place(worker, pipelines.stage(millicores=2000), now=1.0)
        fields = {"count": 5, "gang": True, "same_rack": True}
        item = site.submit(**fields, rack="")
        assert site.round(item) == [[]]
        for placement in site.filling:
            placement.worker.remove(placement)
        assert site.round(item, now=1.2) == [["r1"] * 5]

    def test_rack_on_which_a_gang_just_failed_promises_nothing(self):
        """Guards against a wait for room that the gang can't use."""
        site = Site()
        for placement in site.filling:
            placement.worker.remove(placement)
        for worker in site.near:
            # Fillers' pace would be too low there.
            pipelines.place(
                worker,
                pipelines.stage(
                    millicores=1000, lasting=True, latency_target_ms=1
                ),
                now=1.0,
                load=1.0,
            )
        site.pacer.available_pace_share = lambda task, worker, now: (
            0.0 if worker in site.near else 1.0
        )
        site.pacer.required_pace_share = lambda task, now: 0.5
        for worker in site.far:
            pipelines.place(worker, pipelines.stage(millicores=1500), now=1.0)
        item = site.submit(
            rack="r1",
            count=4,
            gang=True,
            same_rack=True,
            filler=True,
            estimate_ms=LONG_MS,
        )
        assert site.round(item) == [["r2"] * 4]

    def test_gang_without_far_room_does_not_begin_to_wait(self):
        site = Site()
        for worker in site.far:
            pipelines.place(worker, pipelines.stage(millicores=3000), now=1.0)
        item = site.submit(rack="", count=5, gang=True, same_rack=True)
        assert site.round(item) == [[]]
        assert not any(task.near_wait_since_s for task in item.tasks(0, 0))

    def test_gang_stops_to_wait(self):
        """Guards against a gang that waits beside room for an overdue rack."""
        site = Site()
        for worker in site.far:
            pipelines.place(worker, pipelines.stage(millicores=1000), now=1.0)
        fields = {"count": 6, "gang": True, "same_rack": True}
        site.far.append(pipelines.worker("e", cores=2))
        site.far[-1].state = pipelines.worker_state("e", cores=2, rack="r3")
        site.workers.append(site.far[-1])
        for worker in site.far[:1]:
            pipelines.place(worker, pipelines.stage(millicores=2000), now=1.0)
        item = site.submit(**fields, rack="")
        assert site.round(item) == [[]]
        (racks,) = site.round(item, now=1.0 + pipelineplacement.MAX_IDLE_S)
        assert sorted(racks) == ["r2"] * 4 + ["r3"] * 2

    def test_gang_larger_than_a_rack_does_not_wait(self):
        site = Site()
        for placement in site.filling[:4]:
            placement.worker.remove(placement)
        fields = {"count": 9, "gang": True, "same_rack": True}
        (racks,) = site.round(site.submit(**fields, rack=""))
        assert sorted(set(racks)) == ["r1", "r2"]

    @pytest.mark.parametrize("lasting", [False, True])
    def test_lasting_gang_is_not_drawn_to_a_rack(self, lasting):
        site = Site()
        item = site.submit(count=2, gang=True, lasting=lasting)
        near, far = site.starter._gang_places(
            item.tasks(0, 0)[0].stage, site.workers
        )
        assert near == [site.workers if lasting else site.near]
        assert far == ([] if lasting else [site.workers])


class TestSpeed:
    def test_speed_expected_at_the_start_is_kept(self):
        site = Site()
        for worker in site.workers:
            worker.speed = 0.5
        item = site.submit(rack="")
        site.round(item)
        (placement,) = site.attempts.of_task(item.tasks(0, 0)[0])
        placement.worker.speed = 1.0
        assert placement.expected_speed == 0.5


class TwoRacks(simfleet.Fleet):
    """Six workers in two racks, one of them in r1 is slow."""

    WORK_MS = 1000
    FACTOR = 3.0

    def __init__(self):
        names = [f"w{n}" for n in range(6)]
        super().__init__(
            names,
            cores=8,
            racks={name: "r2" for name in names[3:]},
            options={
                "remote_factor": self.FACTOR,
                "learn_speeds": True,
                "learn_run_times": True,
            },
        )
        for host in self.hosts.values():
            host.runner.work_ms = self.WORK_MS
        self.hosts["w0"].runner.work_ms = 8 * self.WORK_MS
        self.idle_s = {}

    def _check_start(self, host, order):
        super()._check_start(host, order)
        if self.racks.get(host.name):
            run = host.runner.runs[order.task]
            run.left_ms *= self.FACTOR
            run.total_ms *= self.FACTOR

    def step(self, step_s=0.1):
        """Runs a step; measures how long pipelines are idle beside room."""
        super().step(step_s)
        has_room = any(
            worker.free.millicores >= 2000
            for worker in self.scheduler.workers.values()
        )
        running = {task.partition(".")[0] for task, _ in self.running()}
        for name in self.rows:
            idle = has_room and not self.is_over(name) and name not in running
            self.idle_s[name] = self.idle_s.get(name, 0) + step_s if idle else 0
            assert self.idle_s[name] < 3.0, name

    def is_over(self, name):
        return self.phase(name) is pipeline.Phase.COMPLETED


class TestFleet:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_hot_rack_with_wrong_estimates_starves_nobody(self, seed):
        """Guards against idle pipelines and endless waits under a burst.

        All data are in the rack with the slow worker, which is lost meanwhile.
        """
        numbers = random.Random(seed)
        fleet = TwoRacks()
        fleet.run_for(1)
        for number in range(40):
            estimate_ms = int(TwoRacks.WORK_MS * numbers.uniform(0.1, 1.9))
            fleet.submit(
                f"p{number}",
                pipelines.stage(
                    numbers.choice([1, 4, 12]),
                    millicores=2000,
                    estimate_ms=estimate_ms,
                    rack="r1",
                ),
            )
            fleet.run_for(numbers.choice([0.1, 0.3]))
            if number == 30:
                fleet.hosts["w1"].partitioned = True
        fleet.run_for(60)
        assert all(map(fleet.is_over, fleet.rows))
        racks = {fleet.racks.get(host, "r1") for _, host in fleet.starts}
        assert racks == {"r1", "r2"}

    def test_reports_teach_speeds_and_run_times(self):
        fleet = TwoRacks()
        for host in fleet.hosts.values():
            host.runner.work_ms *= 4
        fleet.run_for(1)
        for number in range(6):
            fleet.submit(
                f"p{number}",
                pipelines.stage(6, millicores=1000, estimate_ms=1600),
            )
            fleet.run_for(0.5)
        fleet.run_for(8)
        speeds = {w.id: w.speed for w in fleet.scheduler.workers.values()}
        assert speeds.pop("w0") < workerspeed.SLOW_BELOW
        assert set(speeds.values()) == {1.0}
        assert fleet.scheduler._run_times.ratio("recast") > 2
