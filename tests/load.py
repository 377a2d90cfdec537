"""Load generator for tests over real processes."""

import random
import time

import attrs
import curio

from pomelostair import errors
from pomelostair import http
from pomelostair import httpclient
from tests import callhistory

CONNECTIONS_PER_ENTRY = 200


@attrs.frozen
class LoadPlan:
    """Parameters of the load.

    Attributes:
        requests_per_s: Rate at which requests are started, regardless of how
            many are outstanding.
        duration_s: Duration of the load.
        seed: Seed of the random choices.
        keyed_share: Share of the requests with an `Idempotency-Key`.
        timeout_ms: Timeout of each attempt.
        service_ms: Service times to choose from.
        max_repeats: Limit of further attempts of a keyed request.
        urgencies: Urgency classes to choose from.
    """

    requests_per_s: float = 80.0
    duration_s: float = 8.0
    seed: int = 1
    keyed_share: float = 0.5
    timeout_ms: int = 1500
    service_ms: tuple[int, ...] = (5, 20, 80)
    max_repeats: int = 2
    urgencies: tuple[str, ...] = ("critical", "normal", "batch")


class LoadGenerator:
    """Sends requests to entries and records the attempts.

    Args:
        entries: HTTP addresses.
        plan: Parameters of the load.
    """

    def __init__(self, entries, plan):
        self.attempts = []
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._clients = [
            httpclient.Client(entry, CONNECTIONS_PER_ENTRY) for entry in entries
        ]

    async def run(self):
        """Starts all requests on schedule and waits for their results."""
        plan = self._plan
        started_s = time.monotonic()
        tasks = []
        for index in range(int(plan.requests_per_s * plan.duration_s)):
            due_s = started_s + index / plan.requests_per_s
            await curio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(await curio.spawn(self._send_request, f"q{index}"))
        for task in tasks:
            await task.join()

    async def _send_request(self, request_id):
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
            headers += (("idempotency-key", request_id),)
        first_client = self._random.randrange(len(self._clients))
        for attempt_number in range(1 + plan.max_repeats * keyed):
            client = self._clients[
                (first_client + attempt_number) % len(self._clients)
            ]
            attempt = await self._send_attempt(
                client, request_id, attempt_number, urgency, headers
            )
            if attempt.status == 200:
                return

    async def _send_attempt(
        self, client, request_id, attempt_number, urgency, headers
    ):
        attempt = callhistory.Attempt(
            f"{request_id}.{attempt_number}",
            request_id,
            request_id.encode(),
            urgency=urgency,
        )
        self.attempts.append(attempt)
        headers += (("x-attempt-id", attempt.id),)
        attempt.started_s = time.monotonic()
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
            attempt.response_body = str(error).encode()
        else:
            attempt.status = response.status
            attempt.response_body = response.body
            attempt.ran = dict(response.headers).get("pomelostair-ran", "")
        attempt.ended_s = time.monotonic()
        return attempt


def run_load(site, plan, script, addresses=None):
    """Runs a load and a script of faults, and returns the call history.

    Args:
        site: A running site.
        plan: Parameters of the load.
        script: Pairs of a time in seconds and a function to call then, in
            order of time.
        addresses: HTTP addresses to send to, by default those of the entries.
    """
    generator = LoadGenerator(addresses or site.entries, plan)

    async def run_script():
        started_s = time.monotonic()
        for at_s, action in script:
            await curio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            await curio.run_in_thread(action)

    async def main():
        script_task = await curio.spawn(run_script)
        await generator.run()
        await script_task.join()

    curio.run(main)
    history = callhistory.History(slots=8, attempts=generator.attempts)
    read_journals(site, history)
    return history


def read_journals(site, history):
    """Reads the journals of all minions into a history."""
    for process in site.processes.values():
        if process.role == "minion":
            history.read_journal(process.name, site.journal(process.name))
