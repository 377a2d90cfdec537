from pomelostair import tokenbucket


class TestTokenBucket:
    def test_allows_a_burst_and_then_the_rate(self):
        bucket = tokenbucket.TokenBucket(3)
        assert [bucket.withdraw(2.0, 100.0) for _ in range(4)] == [
            True,
            True,
            True,
            False,
        ]
        assert not bucket.withdraw(2.0, 100.4)
        assert bucket.withdraw(2.0, 100.5)
        assert not bucket.withdraw(2.0, 100.6)

    def test_saves_no_more_than_the_burst(self):
        bucket = tokenbucket.TokenBucket(2)
        bucket.withdraw(1.0, 0.0)
        allowed = [bucket.withdraw(1.0, 1000.0) for _ in range(5)]
        assert allowed.count(True) == 2
