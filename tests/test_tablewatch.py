import pytest

from pomelostair import queuewatch
from pomelostair import tablewatch


class TestWatchWait:
    @pytest.mark.parametrize("reconnect_ms", [3000, 4000, 5000])
    def test_silent_connections_are_replaced_within_the_bound(
        self, reconnect_ms
    ):
        """A watch and a reading get no answer; the next reading gets one.

        docs/design/platform.md has this sum. A tenth of the bound is left for
        a slow process.
        """
        longest_s = (
            tablewatch.watch_wait_s(reconnect_ms)
            + tablewatch.MIN_WATCH_MARGIN_S
            + queuewatch.MIN_READ_TIMEOUT_S
            + tablewatch.RETRY_S
        )
        assert longest_s <= 0.9 * reconnect_ms / 1000

    def test_long_bound_does_not_lengthen_the_wait(self):
        assert tablewatch.watch_wait_s(60_000) == tablewatch.MAX_WATCH_WAIT_S
