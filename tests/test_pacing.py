"""The load answered here: noisy tasks come in waves beside services."""

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


class Scene:
    """A worker with a serving task, beside fillers that slow it by factors."""

    def __init__(self, *fillers, alone_ms=8.0, factors=None):
        self.pacer = pacing.Pacer(METRICS)
        self.worker = pipelines.worker()
        self.serving = pipelines.put(self.worker, SERVING, percent=100.0)
        self.fillers = [pipelines.put(self.worker, f) for f in fillers]
        self.alone_ms = alone_ms
        self.factors = factors or {"noisy": 20.0, "quiet": 0.0}
        self.now = 0.0
        self.over_s = 0.0

    def play(self, seconds, step_s=0.3):
        end = self.now + seconds
        while self.now < end:
            self.now += step_s
            slowdown = 1.0
            for filler in self.fillers:
                stage = filler.task.stage
                filler.load = stage.demand.millicores * filler.pace / 100
                share = filler.load / 32_000
                slowdown += self.factors[stage.image] * share
            self.serving.load = self.alone_ms * slowdown
            if self.serving.load > SERVING.latency_target_ms:
                self.over_s += step_s
            self.pacer.observe(self.worker, self.now)
            for filler, pace in self.pacer.decide(self.worker, self.now):
                filler.pace = pace
                filler.slowed = 0.0 if pace >= pacing.FULL else self.now


class TestPacer:
    def test_filling_work_beside_no_service_runs_at_full_pace(self):
        worker = pipelines.worker()
        filler = pipelines.put(worker, NOISY, pace=15)
        pacer = pacing.Pacer(METRICS)
        assert pacer.decide(worker, 1.0) == [(filler, pacing.FULL)]

    def test_noisy_neighbour_is_slowed_within_impact_time(self):
        scene = Scene(NOISY, NOISY)
        scene.play(3.0)
        assert scene.serving.load <= SERVING.latency_target_ms
        assert scene.over_s < 2.0

    def test_the_noisy_one_is_slowed_and_the_quiet_one_goes_on(self):
        scene = Scene(NOISY, QUIET)
        scene.play(20.0)
        noisy, quiet = scene.fillers
        assert noisy.pace < pacing.FULL
        assert quiet.pace == pacing.FULL

    def test_full_pace_returns_when_the_noise_has_shifted_away(self):
        scene = Scene(NOISY)
        scene.play(3.0)
        assert scene.fillers[0].pace < pacing.FULL
        scene.factors["noisy"] = 0.0
        scene.play(30.0)
        assert scene.fillers[0].pace == pacing.FULL

    def test_learned_noise_keeps_further_work_away(self):
        scene = Scene(NOISY)
        scene.play(5.0)
        other = pipelines.put(pipelines.worker("w2"), NOISY)
        rate = scene.pacer.rate(other.task, scene.worker, scene.now)
        assert rate < pacing.START_RATE
        scene = Scene(QUIET)
        scene.play(5.0)
        other = pipelines.put(pipelines.worker("w3"), QUIET)
        rate = scene.pacer.rate(other.task, scene.worker, scene.now)
        assert rate == 1.0

    def test_everything_is_halted_if_the_target_stays_missed(self):
        scene = Scene(QUIET, alone_ms=25.0)
        scene.play(pacing.HALT_AFTER_S + 1.0)
        assert scene.fillers[0].pace == 0

    def test_halted_work_goes_on_where_the_halt_does_not_help(self):
        scene = Scene(QUIET, alone_ms=25.0)
        scene.play(pacing.HALT_AFTER_S + pacing.ACQUIT_AFTER_S + 3.0)
        assert scene.fillers[0].pace > 0

    def test_the_noisiest_image_is_slowed_first(self):
        scene = Scene(
            NOISY, MILD, alone_ms=6.0, factors={"noisy": 24.0, "mild": 8.0}
        )
        scene.play(8.0)
        noisy, mild = scene.fillers
        assert noisy.pace < mild.pace

    def test_waiting_work_is_content_with_less_and_is_never_kept_out(self):
        pacer = pacing.Pacer(METRICS)
        task = pipelines.put(pipelines.worker("w2"), NOISY).task
        task.ready_since = 0.0
        rates = [pacer.least_rate(task, now) for now in (0.5, 3.0, 6.0, 20.0)]
        assert rates == sorted(rates, reverse=True)
        assert rates[0] == pacing.START_RATE
        assert rates[-1] == 0.0

    def test_only_slowed_attempts_move(self):
        scene = Scene(QUIET)
        filler = scene.fillers[0]
        assert not scene.pacer.should_move(filler, 100.0)
        filler.slowed = 10.0
        assert not scene.pacer.should_move(filler, 100.0)
        filler.pace = pacing.MOVE_BELOW - 1
        assert scene.pacer.should_move(filler, 100.0)
        gang = pipelines.stage(2, filler=True, gang=True)
        member = pipelines.put(scene.worker, gang, pace=5, slowed=10.0)
        assert not scene.pacer.should_move(member, 100.0)
        filler.standing = fleet.Standing.STOPPING
        assert not scene.pacer.should_move(filler, 100.0)
