"""Bounds of the store's monotonic clock, as known to one process."""

from pomelostair import clock as clock_module
from pomelostair import store

MAX_CLOCK_DRIFT_SHARE = 0.02  # The platform bounds clock drift by 2 %.


class StoreClock:
    """Bounds the store's monotonic clock, based on readings in answers.

    The reading in an answer to a long poll is old by an unknown part of the
    poll, so it must not loosen the bounds that an earlier answer gave.

    Args:
        clock: Clock that also advances while the host is suspended.
    """

    def __init__(self, clock: clock_module.Clock):
        self._clock = clock
        self._bounds: store.StoreTime | None = None
        self._updated_s = 0.0

    def update(self, reading: store.StoreTime, sent_s: float) -> None:
        """Records a reading of the store's clock.

        Args:
            reading: Bounds of the reading, which was taken at some moment
                between the request and its answer.
            sent_s: Reading of this process's clock when the request was sent.
        """
        now_s = self._clock.now()
        took_ms = (now_s - sent_s) * (1 + MAX_CLOCK_DRIFT_SHARE) * 1000
        earliest_ms = reading.earliest_ms
        latest_ms = reading.latest_ms + took_ms
        known = self._bounds_at(now_s)
        if known is not None:
            tighter_earliest_ms = max(earliest_ms, known.earliest_ms)
            tighter_latest_ms = min(latest_ms, known.latest_ms)
            # Otherwise the clock has begun anew.
            if tighter_earliest_ms <= tighter_latest_ms:
                earliest_ms = tighter_earliest_ms
                latest_ms = tighter_latest_ms
        self._bounds = store.StoreTime(earliest_ms, latest_ms)
        self._updated_s = now_s

    def bounds(self) -> store.StoreTime | None:
        """Returns the current bounds, None before the first reading."""
        return self._bounds_at(self._clock.now())

    def _bounds_at(self, now_s: float) -> store.StoreTime | None:
        if self._bounds is None:
            return None
        elapsed_ms = (now_s - self._updated_s) * 1000
        return store.StoreTime(
            self._bounds.earliest_ms + elapsed_ms * (1 - MAX_CLOCK_DRIFT_SHARE),
            self._bounds.latest_ms + elapsed_ms * (1 + MAX_CLOCK_DRIFT_SHARE),
        )
