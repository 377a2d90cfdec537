"""Changes configurations under series of faults, and checks what callers see.

Changes and faults overlap: connections to the store go silent or are cut,
entries are stopped, killed, frozen and reloaded, and the store drops its
history. Callers keep their connections until the process at the other end is
gone. Each answer tells which routes an entry knows, and thus whether a change
is late or an entry has gone back to an older version.

    python -m pomelostair_standins.configsoak --seeds 1 50 --seconds 40
"""

import argparse
import http.client
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import attrs

from pomelostair_standins import platformsite
from pomelostair_standins import relay

DEFAULT_ENTRIES = 3
# Bounds of the platform's small sites, in seconds: from an acknowledgement to
# the change in force, and from a disturbance until a machine is in touch again.
APPLY_S = 2.0
CONTACT_S = 3.0
# An entry must not go back to an older version later than this.
ROLLBACK_SLACK_S = 0.25
UNKNOWN_ID = "00000000000000ff"
# The site starts with version 1.
FIRST_VERSION = 2
KEPT_VERSIONS = 3
CALL_TIMEOUT_S = 2.0
START_S = 20.0
_NO_SUCH_ROUTE = 404
_KNOWN_ROUTE = 410


@attrs.define
class Finding:
    """An answer that only an older version allows.

    Attributes:
        entry: Number of the entry.
        kind: "late" or "older".
        version: Version that it should have known.
        seconds: Time since that version was due, or since the entry showed it.
    """

    entry: int
    kind: str
    version: int
    seconds: float


@attrs.define
class Result:
    """What one seed has shown.

    Attributes:
        seed: The seed.
        versions: Versions that were written.
        answers: Answers that tell whether a route is known.
        faults: Faults by kind.
        findings: Answers that only an older version allows.
        reached: Whether each entry had the last version in the end.
        exits: Exit codes of entries that were stopped gracefully.
        failures: Entries that did not start again.
    """

    seed: int
    versions: int = 0
    answers: int = 0
    faults: dict[str, int] = attrs.field(factory=dict)
    findings: list[Finding] = attrs.field(factory=list)
    reached: bool = False
    exits: list[int] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    @property
    def passed(self) -> bool:
        """Whether nothing was found."""
        failed = self.findings or self.failures or set(self.exits) - {0}
        return self.reached and not failed


class Soak:
    """One run on a site of its own.

    Args:
        folder: Directory for settings and logs.
        seed: Seed of the changes and faults.
        duration_s: How long changes and faults go on.
        entries: Number of entries.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        duration_s: float,
        entries: int = DEFAULT_ENTRIES,
    ):
        self._site = platformsite.PlatformSite(
            folder, entries=entries, sides=1, links=True
        )
        self._numbers = range(entries)
        self._random = random.Random(seed)
        self._duration_s = duration_s
        self._result = Result(seed)
        self._acked_s: dict[int, float] = {}
        # Version that no longer has a route, and when that was acknowledged.
        self._dropped: tuple[int, float] | None = None
        self._disturbed_s = [0.0] * entries
        self._incarnation = [0] * entries
        self._lock = threading.Lock()
        self._cut_entries: set[int] = set()
        # Held while an entry is stopped, frozen, reloaded or cut off.
        self._entry_locks = [threading.Lock() for _ in self._numbers]
        self._fault_threads: list[threading.Thread] = []
        self._stopped = threading.Event()

    def run(self) -> Result:
        """Runs until the time is over; ends every process."""
        threads = []
        try:
            self._site.start()
            self._write(FIRST_VERSION)
            for number in self._numbers:
                threads += [
                    threading.Thread(target=self._call_entry, args=(number,))
                    for _ in range(2)
                ]
            threads.append(threading.Thread(target=self._change))
            for thread in threads:
                thread.start()
            self._inject()
            self._result.reached = self._wait_until_reached()
        finally:
            self._stopped.set()
            for thread in threads:
                thread.join()
            self._site.stop()
        self._result.versions = len(self._acked_s)
        return self._result

    def _write(self, version: int) -> None:
        """Writes a configuration with the routes of the last versions."""
        first = max(FIRST_VERSION, version - KEPT_VERSIONS + 1)
        document = platformsite.configuration(version)
        (base,) = document["routes"]
        document["routes"] += [
            {**base, "name": f"v{n}", "pathPrefix": f"/v{n}/"}
            for n in range(first, version + 1)
        ]
        if not self._site.configure(document):
            raise OSError("the operator could not write")
        with self._lock:
            self._acked_s[version] = time.monotonic()
            if first > FIRST_VERSION:
                self._dropped = first - 1, self._acked_s[version]

    def _change(self) -> None:
        # Its own numbers, so that the faults are the same however many changes
        # fit into the time.
        draws = random.Random(self._result.seed)
        version = FIRST_VERSION
        ends_s = time.monotonic() + self._duration_s
        while time.monotonic() < ends_s and not self._stopped.is_set():
            self._stopped.wait(draws.choice((0.2, 0.4, 0.9, 2.5, 4.0)))
            version += 1
            self._write(version)

    def _inject(self) -> None:
        """Starts faults, which overlap unless they need the same entry."""
        ends_s = time.monotonic() + self._duration_s
        entry_faults = {
            "cut": self._cut,
            "freeze": self._freeze,
            "kill": self._kill,
            "stop": self._stop,
            "reload": self._reload,
        }
        site_faults = {
            "silent": self._silence,
            "silent all": self._silence_all,
            "forget": self._forget,
        }
        kinds = (*entry_faults, *site_faults)
        while time.monotonic() < ends_s:
            time.sleep(self._random.uniform(0.1, 2.5))
            kind = self._random.choice(kinds)
            number = self._random.choice(self._numbers)
            lasting = self._random.uniform(0.1, 2.0)
            if kind in site_faults:
                site_faults[kind](number)
            elif self._entry_locks[number].acquire(blocking=False):
                thread = threading.Thread(
                    target=self._hold_entry,
                    args=(entry_faults[kind], number, lasting),
                )
                thread.start()
                self._fault_threads.append(thread)
            else:
                continue
            count = self._result.faults.get(kind, 0)
            self._result.faults[kind] = count + 1
        for thread in self._fault_threads:
            thread.join()

    def _hold_entry(self, fault, number: int, lasting_s: float) -> None:
        try:
            fault(number, lasting_s)
        except (OSError, TimeoutError) as error:
            self._result.failures.append(f"edge-{number}: {error}")
        finally:
            self._entry_locks[number].release()

    def _disturb(self, number: int) -> None:
        with self._lock:
            self._disturbed_s[number] = time.monotonic()

    def _silence(self, number: int) -> None:
        self._silence_entries({number})

    def _silence_all(self, _number: int) -> None:
        self._silence_entries(set(self._numbers))

    def _silence_entries(self, numbers: set[int]) -> None:
        self._set_rules(numbers)
        for number in numbers:
            self._disturb(number)

    def _set_rules(self, silent: set[int] = frozenset()) -> None:
        """Sets the cuts in force, and makes open connections silent."""
        with self._lock:
            rules = [
                relay.Rule(
                    f"edge-{n}",
                    "store",
                    cut=n in self._cut_entries,
                    silent=n in silent,
                )
                for n in silent | self._cut_entries
            ]
            self._site.set_rules(*rules)

    def _cut(self, number: int, lasting_s: float) -> None:
        self._disturb(number)
        self._cut_entries.add(number)
        self._set_rules()
        time.sleep(lasting_s)
        self._cut_entries.discard(number)
        self._set_rules()
        self._disturb(number)

    def _freeze(self, number: int, lasting_s: float) -> None:
        self._disturb(number)
        self._site.signal(f"edge-{number}", signal.SIGSTOP)
        time.sleep(lasting_s)
        self._site.signal(f"edge-{number}", signal.SIGCONT)
        self._disturb(number)

    def _kill(self, number: int, _lasting_s: float) -> None:
        self._restart(number, lambda: self._site.kill(f"edge-{number}"))

    def _stop(self, number: int, _lasting_s: float) -> None:
        def end() -> None:
            self._site.signal(f"edge-{number}", signal.SIGTERM)
            try:
                code = self._site.wait(f"edge-{number}", START_S)
            except subprocess.TimeoutExpired:
                code = -1
            self._result.exits.append(code)

        self._restart(number, end)

    def _restart(self, number: int, end) -> None:
        """Ends an entry and starts it again.

        Args:
            number: Number of the entry.
            end: Returns when its process has ended.
        """
        self._disturb(number)
        end()
        with self._lock:
            self._incarnation[number] += 1
        self._site.start_entry(number)
        deadline_s = time.monotonic() + START_S
        entry = self._site.entries[number]
        while not self._site.is_ready(entry):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"edge-{number} did not start again")
            time.sleep(0.05)
        self._disturb(number)

    def _reload(self, number: int, _lasting_s: float) -> None:
        self._site.signal(f"edge-{number}", signal.SIGHUP)

    def _forget(self, _number: int) -> None:
        self._site.call(self._site.store, "POST", "/forget")

    def _call_entry(self, number: int) -> None:
        """Asks one entry for the newest and for a dropped route, in turn."""
        connection = None
        shown = (0, 0, 0.0)  # Incarnation, version and when that was shown.
        while not self._stopped.is_set():
            with self._lock:
                version = max(self._acked_s)
                dropped = self._dropped
                incarnation = self._incarnation[number]
            if shown[0] != incarnation:
                shown = (incarnation, 0, 0.0)
            sent_s = time.monotonic()
            connection, status = self._ask(connection, number, f"/v{version}/")
            if status == _KNOWN_ROUTE and version > shown[1]:
                shown = (incarnation, version, time.monotonic())
            elif status == _NO_SUCH_ROUTE:
                self._check(number, incarnation, version, sent_s, shown)
            if dropped is not None:
                sent_s = time.monotonic()
                connection, status = self._ask(
                    connection, number, f"/v{dropped[0]}/"
                )
                if status == _KNOWN_ROUTE:
                    newer = dropped[0] + KEPT_VERSIONS
                    self._check(number, incarnation, newer, sent_s, shown)
            time.sleep(0.02)
        if connection is not None:
            connection.close()

    def _check(
        self,
        number: int,
        incarnation: int,
        version: int,
        sent_s: float,
        shown: tuple[int, int, float],
    ) -> None:
        """Records an answer that only versions before `version` allow."""
        with self._lock:
            if self._incarnation[number] != incarnation:
                return
            due_s = max(
                self._acked_s[version] + APPLY_S,
                self._disturbed_s[number] + CONTACT_S,
            )
        if sent_s > due_s:
            finding = Finding(number, "late", version, sent_s - due_s)
            self._result.findings.append(finding)
        if version <= shown[1] and sent_s > shown[2] + ROLLBACK_SLACK_S:
            finding = Finding(number, "older", version, sent_s - shown[2])
            self._result.findings.append(finding)

    def _ask(
        self,
        connection: http.client.HTTPConnection | None,
        number: int,
        prefix: str,
    ) -> tuple[http.client.HTTPConnection | None, int]:
        """Sends one request over a connection that is kept while it works.

        Returns:
            The connection for the next request, None if a new one is needed,
            and the status; 0 if there was no answer.
        """
        if connection is None:
            address = f"{self._site.entries[number]}:{self._site.front}"
            connection = http.client.HTTPConnection(
                address, timeout=CALL_TIMEOUT_S
            )
        try:
            connection.request(
                "GET",
                f"{prefix}{UNKNOWN_ID}",
                headers={"Host": platformsite.ROUTE_HOST},
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return None, 0
        self._result.answers += 1
        closes = response.getheader("connection") == "close"
        return (None if closes else connection), response.status

    def _wait_until_reached(self) -> bool:
        deadline_s = time.monotonic() + START_S
        waiting = set(self._numbers)
        while waiting and time.monotonic() < deadline_s:
            version = max(self._acked_s)
            for number in tuple(waiting):
                connection, status = self._ask(None, number, f"/v{version}/")
                if connection is not None:
                    connection.close()
                if status == _KNOWN_ROUTE:
                    waiting.discard(number)
            time.sleep(0.05)
        return not waiting


def run(seed: int, duration_s: float, entries: int) -> Result:
    """Runs one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return Soak(pathlib.Path(folder), seed, duration_s, entries).run()


def main() -> int:
    """Runs the seeds; returns 1 if one has a finding."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seeds", type=int, nargs=2, default=(1, 1), metavar=("FIRST", "LAST")
    )
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--entries", type=int, default=DEFAULT_ENTRIES)
    options = parser.parse_args()
    failed = False
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        result = run(seed, options.seconds, options.entries)
        failed = failed or not result.passed
        print(json.dumps(attrs.asdict(result)), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
