"""Pace control of fillers that arrive in waves next to serving tasks.

Guards against serving tasks that stay over their latency targets because
fillers are not slowed, and against fillers that are slowed without need.
"""

from pomelostair import fleet
from pomelostair import metrics
from pomelostair import pacing
from tests import pipelines

METRICS = metrics.Metrics()
SERVING = pipelines.stage(
    millicores=6000, lasting=True, latency_target_ms=18.0, image="service"
)
NOISY = pipelines.stage(millicores=4000, filler=True, image="noisy")
MILD = pipelines.stage(millicores=4000, filler=True, image="mild")
QUIET = pipelines.stage(millicores=4000, filler=True, image="quiet")


class ColocationSimulation:
    """One worker with a serving task and fillers that raise its latency.

    Args:
        fillers: Stages of the fillers.
        unloaded_ms: Latency of the serving task without fillers.
        slowdown_factors: Relative growth of the latency by filler image, for
            a filler that uses all cores.
    """

    def __init__(self, *fillers, unloaded_ms=8.0, slowdown_factors=None):
        self.pacer = pacing.Pacer(METRICS)
        self.worker = pipelines.worker()
        self.serving = pipelines.place(
            self.worker, SERVING, progress_percent=100.0
        )
        self.fillers = [pipelines.place(self.worker, f) for f in fillers]
        self.unloaded_ms = unloaded_ms
        self.slowdown_factors = slowdown_factors or {
            "noisy": 20.0,
            "quiet": 0.0,
        }
        self.now = 0.0
        self.over_target_s = 0.0

    def advance(self, seconds, step_s=0.3):
        end = self.now + seconds
        while self.now < end:
            self.now += step_s
            slowdown = 1.0
            for filler in self.fillers:
                stage = filler.task.stage
                filler.load = (
                    stage.demand.millicores * filler.pace_percent / 100
                )
                share = filler.load / 32_000
                slowdown += self.slowdown_factors[stage.image] * share
            self.serving.load = self.unloaded_ms * slowdown
            if self.serving.load > SERVING.latency_target_ms:
                self.over_target_s += step_s
            self.pacer.observe(self.worker, self.now)
            for filler, pace in self.pacer.pace_changes(self.worker, self.now):
                filler.pace_percent = pace
                filler.slowed_since_s = (
                    0.0 if pace >= pacing.FULL_PERCENT else self.now
                )


class TestPacer:
    def test_fillers_run_at_full_pace_on_worker_without_serving_tasks(self):
        worker = pipelines.worker()
        filler = pipelines.place(worker, NOISY, pace_percent=15)
        pacer = pacing.Pacer(METRICS)
        assert pacer.pace_changes(worker, 1.0) == [
            (filler, pacing.FULL_PERCENT)
        ]

    def test_noisy_neighbour_is_slowed_within_impact_time(self):
        simulation = ColocationSimulation(NOISY, NOISY)
        simulation.advance(3.0)
        assert simulation.serving.load <= SERVING.latency_target_ms
        assert simulation.over_target_s < 2.0

    def test_noisy_filler_is_slowed_and_quiet_filler_is_not(self):
        simulation = ColocationSimulation(NOISY, QUIET)
        simulation.advance(20.0)
        noisy, quiet = simulation.fillers
        assert noisy.pace_percent < pacing.FULL_PERCENT
        assert quiet.pace_percent == pacing.FULL_PERCENT

    def test_full_pace_is_restored_once_filler_stops_interfering(self):
        simulation = ColocationSimulation(NOISY)
        simulation.advance(3.0)
        assert simulation.fillers[0].pace_percent < pacing.FULL_PERCENT
        simulation.slowdown_factors["noisy"] = 0.0
        simulation.advance(30.0)
        assert simulation.fillers[0].pace_percent == pacing.FULL_PERCENT

    def test_learned_pressure_limits_further_fillers_of_the_image(self):
        simulation = ColocationSimulation(NOISY)
        simulation.advance(5.0)
        other = pipelines.place(pipelines.worker("w2"), NOISY)
        pace_share = simulation.pacer.available_pace_share(
            other.task, simulation.worker, simulation.now
        )
        assert pace_share < pacing.START_PACE_SHARE
        simulation = ColocationSimulation(QUIET)
        simulation.advance(5.0)
        other = pipelines.place(pipelines.worker("w3"), QUIET)
        pace_share = simulation.pacer.available_pace_share(
            other.task, simulation.worker, simulation.now
        )
        assert pace_share == 1.0

    def test_all_fillers_are_halted_if_target_stays_missed(self):
        simulation = ColocationSimulation(QUIET, unloaded_ms=25.0)
        simulation.advance(pacing.HALT_ALL_AFTER_S + 1.0)
        assert simulation.fillers[0].pace_percent == 0

    def test_halted_fillers_resume_if_halt_does_not_lower_latency(self):
        simulation = ColocationSimulation(QUIET, unloaded_ms=25.0)
        simulation.advance(pacing.HALT_ALL_AFTER_S + pacing.RECOVERY_S + 3.0)
        assert simulation.fillers[0].pace_percent > 0

    def test_image_with_highest_pressure_is_slowed_first(self):
        simulation = ColocationSimulation(
            NOISY,
            MILD,
            unloaded_ms=6.0,
            slowdown_factors={"noisy": 24.0, "mild": 8.0},
        )
        simulation.advance(8.0)
        noisy, mild = simulation.fillers
        assert noisy.pace_percent < mild.pace_percent

    def test_reported_use_counts_with_at_most_all_cores(self):
        """Guards against a report that ends the term of each leader."""
        pressures = []
        for load in (32_000.0, 2.0**53):
            simulation = ColocationSimulation(NOISY)
            simulation.fillers[0].load = load
            simulation.serving.load = 12.0
            for now in (0.3, 0.6, 0.9):
                simulation.pacer.observe(simulation.worker, now)
            contention = simulation.pacer.contention
            pressures.append(contention.pressure("service", "noisy", 0.9))
        assert pressures[0] == pressures[1] > 0

    def required_pace_shares(self, stage, times_s):
        pacer = pacing.Pacer(METRICS)
        task = pipelines.place(pipelines.worker("w2"), stage).task
        task.ready_since_s = 0.0
        return [pacer.required_pace_share(task, now) for now in times_s]

    def test_required_pace_share_of_a_gang_decays_to_zero(self):
        gang = pipelines.stage(2, filler=True, gang=True)
        pace_shares = self.required_pace_shares(gang, (0.5, 3.0, 6.0, 20.0))
        assert pace_shares == sorted(pace_shares, reverse=True)
        assert pace_shares[0] == pacing.START_PACE_SHARE
        assert pace_shares[-1] == 0.0

    def test_waiting_filler_does_not_settle_for_a_low_pace(self):
        """Slow fillers would fill the workers on which others run fast."""
        assert self.required_pace_shares(NOISY, (0.5, 6.0, 20.0, 61.0)) == [
            pacing.START_PACE_SHARE,
            pacing.START_PACE_SHARE,
            pacing.START_PACE_SHARE,
            0.0,
        ]

    def test_only_slowed_running_non_gang_attempts_move(self):
        simulation = ColocationSimulation(QUIET)
        filler = simulation.fillers[0]
        assert not simulation.pacer.should_move(filler, 100.0)
        filler.slowed_since_s = 10.0
        assert not simulation.pacer.should_move(filler, 100.0)
        filler.pace_percent = pacing.MOVE_BELOW_PERCENT - 1
        assert simulation.pacer.should_move(filler, 100.0)
        gang = pipelines.stage(2, filler=True, gang=True)
        member = pipelines.place(
            simulation.worker, gang, pace_percent=5, slowed_since_s=10.0
        )
        assert not simulation.pacer.should_move(member, 100.0)
        filler.state = fleet.AttemptState.STOPPING
        assert not simulation.pacer.should_move(filler, 100.0)
