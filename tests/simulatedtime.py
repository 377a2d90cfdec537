"""Runs coroutines on a clock that does not wait."""

import selectors
import time

import curio

from pomelostair import clock as clock_module


class SimulatedTime(selectors.DefaultSelector):
    """A selector that advances the kernel's clock instead of waiting."""

    def __init__(self, monkeypatch):
        super().__init__()
        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        monkeypatch.setattr(
            clock_module.BoottimeClock, "now", lambda _self: self.now
        )

    def select(self, timeout=None):
        self.now += max(timeout or 0.0, 0.0)
        return super().select(0)


def run(monkeypatch, body):
    """Runs a coroutine function on a simulated clock."""
    return curio.run(body, selector=SimulatedTime(monkeypatch))
