import random

from pomelostair import servicetime


def observe_many(draw, count=2000):
    time = servicetime.ServiceTime()
    generator = random.Random(1)
    for _ in range(count):
        time.observe(draw(generator))
    return time


class TestServiceTime:
    def test_first_observation_is_the_mean(self):
        time = servicetime.ServiceTime()
        time.observe(0.2)
        assert time.mean_s == 0.2

    def test_constant_times_have_no_margin(self):
        assert abs(observe_many(lambda _: 0.02).safe_s - 0.02) < 1e-9

    def test_most_varying_times_are_within_the_safe_time(self):
        generator = random.Random(2)
        for draw in (
            lambda g: g.expovariate(5),
            lambda g: g.uniform(0.1, 0.3),
        ):
            safe_s = observe_many(draw).safe_s
            within_count = sum(draw(generator) <= safe_s for _ in range(1000))
            assert within_count > 800

    def test_mean_follows_a_minion_that_becomes_slower(self):
        time = observe_many(lambda _: 0.02)
        for _ in range(50):
            time.observe(0.2)
        assert time.mean_s > 0.19
