"""Callers for tests over real processes; each call is an attempt."""

import random
import time

import attrs
import curio

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from tests import callhistory

CONNECTIONS = 200


@attrs.frozen
class Plan:
    """What the callers do.

    Attributes:
        rate: Requests a second, begun whether or not others are answered.
        seconds: Length of the load.
        seed: Seed of the mix and the times.
        keyed_share: Share of the requests with an `Idempotency-Key`.
        timeout_ms: Deadline of each call.
        service_ms: Service times to choose from.
        repeats: Most further calls for a keyed request.
        urgencies: Urgency classes to choose from.
    """

    rate: float = 80.0
    seconds: float = 8.0
    seed: int = 1
    keyed_share: float = 0.5
    timeout_ms: int = 1500
    service_ms: tuple[int, ...] = (5, 20, 80)
    repeats: int = 2
    urgencies: tuple[str, ...] = ("critical", "normal", "batch")


class Load:
    """Sends requests to entries and notes what their callers see.

    Args:
        entries: HTTP addresses.
        plan: What the callers do.
    """

    def __init__(self, entries, plan):
        self.attempts = []
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._clients = [
            httpclient.Client(entry, CONNECTIONS) for entry in entries
        ]

    async def run(self):
        """Begins all requests on time, and waits for all results."""
        plan = self._plan
        begun = time.monotonic()
        tasks = []
        for index in range(int(plan.rate * plan.seconds)):
            due = begun + index / plan.rate
            await curio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(await curio.spawn(self._request, f"q{index}"))
        for task in tasks:
            await task.join()

    async def _request(self, name):
        plan = self._plan
        keyed = self._random.random() < plan.keyed_share
        service_ms = self._random.choice(plan.service_ms)
        urgency = self._random.choice(plan.urgencies)
        headers = (
            ("x-service-ms", str(service_ms)),
            ("pomelostair-urgency", urgency),
            ("pomelostair-timeout-ms", str(plan.timeout_ms)),
        )
        if keyed:
            headers += (("idempotency-key", name),)
        first = self._random.randrange(len(self._clients))
        for turn in range(1 + plan.repeats * keyed):
            client = self._clients[(first + turn) % len(self._clients)]
            attempt = await self._attempt(client, name, turn, urgency, headers)
            if attempt.status == 200:
                return

    async def _attempt(self, client, name, turn, urgency, headers):
        attempt = callhistory.Attempt(
            f"{name}.{turn}", name, name.encode(), urgency=urgency
        )
        self.attempts.append(attempt)
        headers += (("x-attempt-id", attempt.id),)
        attempt.begun = time.monotonic()
        try:
            response = await client.request(
                http.Request(
                    "POST", "/services/clapper-desk/fit", headers, attempt.body
                ),
                self._plan.timeout_ms / 1000 + 2,
            )
        except errors.NotSentError:
            attempt.ran = "no"
        except errors.AnswerLostError as error:
            attempt.answer = str(error).encode()
        else:
            attempt.status = response.status
            attempt.answer = response.body
            attempt.ran = dict(response.headers).get("pomelostair-ran", "")
        attempt.ended = time.monotonic()
        return attempt


def play(site, plan, script, addresses=None):
    """Runs a load while a script of faults plays, and returns its callhistory.

    Args:
        site: A running site.
        plan: What the callers do.
        script: Pairs of seconds and what to call then, in order.
        addresses: Where callers send to; the entries if none are given.
    """
    load = Load(addresses or site.entries, plan)

    async def act():
        begun = time.monotonic()
        for at, action in script:
            await curio.sleep(max(0.0, begun + at - time.monotonic()))
            await curio.run_in_thread(action)

    async def main():
        acting = await curio.spawn(act)
        await load.run()
        await acting.join()

    curio.run(main)
    seen = callhistory.History(slots=8, attempts=load.attempts)
    read_journals(site, seen)
    return seen


def read_journals(site, seen):
    """Reads what the minions have run so far."""
    for process in site.processes.values():
        if process.role == "minion":
            seen.read(process.name, site.journal(process.name))
