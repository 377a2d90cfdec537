"""The daemon with one decision replaced by a naive one, for comparisons."""

import argparse
import itertools
import sys

from pomelostair import daemon
from pomelostair import gate
from pomelostair import health
from pomelostair import queueing
from pomelostair import routing


class FifoQueue(queueing.FairQueue):
    """First come, first served; nothing is shed or refused early."""

    def __init__(self):
        super().__init__()
        self._waiting = []

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, waiting):
        """Adds a request at the end."""
        self._waiting.append(waiting)

    def pop(self, _shares, _cost):
        """Removes the oldest request."""
        return self._waiting.pop(0)

    def charge(self, *_args):
        """Charges nothing."""

    def expire(self, _horizon):
        """Keeps everything."""
        return []

    def expected_turns(self, _urgency, _shares):
        """Counts the whole queue."""
        return float(len(self._waiting))


def _use_fifo() -> None:
    gate.queueing.FairQueue = FifoQueue
    gate.Gate._would_miss_deadline = lambda *_: False
    gate.Gate._shed_excess = _keep


async def _keep(*_args) -> None:
    """Sheds nothing."""


def _use_random() -> None:
    routing.choose = lambda candidates, _urgency, _zone, random: (
        random.choice(candidates) if candidates else None
    )
    health.TargetHealth.eligible = lambda _self, candidates, _probe: candidates


def _use_round_robin() -> None:
    turn = itertools.count()

    def choose(candidates, _urgency, _zone, _random):
        if not candidates:
            return None
        return candidates[next(turn) % len(candidates)]

    routing.choose = choose
    health.TargetHealth.eligible = lambda _self, candidates, _probe: candidates


POLICIES = {
    "today": lambda: None,
    "random": _use_random,
    "round-robin": _use_round_robin,
    "fifo": _use_fifo,
}


def main() -> int:
    """Runs the daemon under the policy given as first option."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=POLICIES, required=True)
    options, rest = parser.parse_known_args()
    POLICIES[options.policy]()
    return daemon.main(rest)


if __name__ == "__main__":
    sys.exit(main())
