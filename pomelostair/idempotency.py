"""Requests with an `Idempotency-Key`: run at most once at all entries.

Before such a request is sent, a row that states the intent is created in the
platform's table, if the key has none. The outcome is stored in the row after.
A repeat at any entry finds the row, and gets the outcome or hears that it is
unknown. All intents and outcomes of a short window share a transaction.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import hashlib
import uuid

import attrs
import curio
import msgspec

from pomelostair import clock as clock_module
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import store

KEY_HEADER = "idempotency-key"
PREFIX = "intent/"
WINDOW_S = 0.005
MAX_BATCH = 100
MAX_STORED_BYTES = 256 * 1024
STORE_OUTCOME_ATTEMPTS = 20
STORE_OUTCOME_PAUSE_S = 0.5
STORE_OUTCOME_WAIT_S = 1.0
POLL_MIN_S = 0.05
POLL_MAX_S = 0.5
RETENTION_S = 24 * 3600.0
SWEEP_INTERVAL_S = 600.0
KEPT_GENERATIONS = 4
PAGE_ROWS = 100
PAGE_PAUSE_S = 0.1
GENERATION_KEY = "intent-generation"

Result = messages.Served | outcome.Refused
Run = Callable[[], Awaitable[Result]]


class State(enum.Enum):
    """What is known of the request that holds a key."""

    PENDING = "pending"
    SERVED = "served"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@attrs.frozen
class Intent:
    """A row of the table.

    Attributes:
        key: Key of the row.
        fingerprint: Digest of what the caller asked for.
        token: Random id of the write that holds the key.
        state: What is known of the request.
        generation: Period in which the row was created, for its retention.
        served: The answer, while it is small enough to be kept.
    """

    key: str
    fingerprint: str
    token: str
    state: State = State.PENDING
    generation: int = 0
    served: messages.Served | None = None


@attrs.frozen
class _Held:
    """This process holds the key; `version` is that of the row."""

    version: int


@attrs.frozen
class _Free:
    """The key may be claimed over the row at `version`, 0 for no row."""

    version: int


_Claim = _Held | outcome.Refused | messages.Served


def intent_of(service: str, key: str, serve: messages.Serve) -> Intent:
    """Returns the intent of a caller's request."""
    named = "\0".join((service, serve.team, key)).encode()
    asked = "\0".join((serve.method, serve.target)).encode()
    return Intent(
        key=PREFIX + hashlib.sha256(named).hexdigest(),
        fingerprint=hashlib.sha256(asked + b"\0" + serve.body).hexdigest(),
        token=uuid.uuid4().hex,
    )


@attrs.define(eq=False)
class _Write:
    """A row write that waits for its transaction."""

    intent: Intent
    version: int
    result: outcome.CommitResult | None = None
    done: curio.Event = attrs.field(factory=curio.Event)


class Batcher:
    """Puts row writes of a short window into one transaction.

    Args:
        table: The platform's table.
        metrics: Where transactions are counted.
    """

    def __init__(self, table: store.Table, metrics: metrics_module.Metrics):
        self._table = table
        self._metrics = metrics
        self._waiting: list[_Write] = []
        self._wake = curio.Event()

    async def write(self, intent: Intent, version: int) -> outcome.CommitResult:
        """Writes a row if it is at `version`, 0 for absent."""
        write = _Write(intent, version)
        self._waiting.append(write)
        await self._wake.set()
        await write.done.wait()
        return write.result

    async def run(self) -> None:
        """Commits until cancelled."""
        while True:
            await self._wake.wait()
            await curio.sleep(WINDOW_S)
            self._wake.clear()
            while batch := self._next_batch():
                await curio.spawn(self._commit, batch, daemon=True)

    def _next_batch(self) -> list[_Write]:
        """Takes writes of different rows; a second one of a row must wait."""
        batch: dict[str, _Write] = {}
        rest = []
        for write in self._waiting:
            if write.intent.key in batch or len(batch) >= MAX_BATCH:
                rest.append(write)
            else:
                batch[write.intent.key] = write
        self._waiting = rest
        return list(batch.values())

    async def _commit(self, batch: list[_Write]) -> None:
        """Commits a batch; a conflict fails its own write only."""
        pending = list(batch)
        while pending:
            result = await self._table.commit(_transaction(pending))
            self._metrics.count(
                "intent_commits", outcome=type(result).__name__.lower()
            )
            finished = _settled(pending, result)
            for write in finished:
                write.result = result
                await write.done.set()
            pending = [write for write in pending if write not in finished]


def _transaction(batch: list[_Write]) -> store.Transaction:
    return store.Transaction(
        checks=tuple(store.Check(w.intent.key, w.version) for w in batch),
        puts=tuple(
            store.Put(w.intent.key, msgspec.msgpack.encode(w.intent))
            for w in batch
        ),
    )


def _settled(batch: list[_Write], result: outcome.CommitResult) -> list[_Write]:
    if not isinstance(result, outcome.Conflict):
        return batch
    conflicting = [w for w in batch if w.intent.key == result.key]
    return conflicting or batch


class Sweeper:
    """Removes rows after the retention, without comparing wall clocks.

    Rows carry the generation in which they were created. An entry that saw
    the generation unchanged for half the retention starts the next one.

    Args:
        table: The platform's table.
        clock: Source of the time for which a generation was seen.
    """

    def __init__(self, table: store.Table, clock: clock_module.Clock):
        self._table = table
        self._clock = clock
        self._version = 0
        self._generation = 0
        self._since = clock.now()

    @property
    def generation(self) -> int:
        """The generation of new rows."""
        return self._generation

    async def run(self) -> None:
        """Sweeps at intervals until cancelled."""
        while True:
            await self.step()
            await curio.sleep(SWEEP_INTERVAL_S)

    async def step(self) -> None:
        """Reads the generation, and starts the next one when it is due."""
        match await self._table.read(GENERATION_KEY):
            case store.Found(row=row):
                version, generation = row.version, int(row.value)
            case store.Absent():
                version, generation = 0, 0
            case _:
                return
        if version != self._version:
            self._since = self._clock.now()
        self._version, self._generation = version, generation
        if self._clock.now() - self._since < RETENTION_S / 2:
            return
        check = store.Check(GENERATION_KEY, version)
        put = store.Put(GENERATION_KEY, str(generation + 1).encode())
        transaction = store.Transaction((check,), (put,))
        if isinstance(await self._table.commit(transaction), outcome.Committed):
            await self._remove(generation + 1 - KEPT_GENERATIONS)

    async def _remove(self, newest: int) -> None:
        after = ""
        while True:
            page = await self._table.scan(PREFIX, after, PAGE_ROWS)
            if not isinstance(page, store.Page) or not page.rows:
                return
            old = [row for row in page.rows if _generation(row) <= newest]
            await self._table.commit(
                store.Transaction(
                    checks=tuple(store.Check(r.key, r.version) for r in old),
                    deletes=tuple(row.key for row in old),
                )
            )
            after = page.rows[-1].key
            await curio.sleep(PAGE_PAUSE_S)


def _generation(row: store.Row) -> int:
    return msgspec.msgpack.decode(row.value, type=Intent).generation


@kernel.plugin(settings_module.Role.ENTRY)
class Intents(kernel.Plugin):
    """Runs each request with a key at most once."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._table = parts.table
        self._batcher = Batcher(parts.table, parts.metrics)
        self._sweeper = Sweeper(parts.table, parts.clock)

    async def run(self) -> None:
        """Commits intents and removes old ones until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._batcher.run)
            await group.spawn(self._sweeper.run)

    async def once(self, intent: Intent, run: Run, deadline: float) -> Result:
        """Runs a request unless one with its key may have run.

        Args:
            intent: Key and content of the request.
            run: Sends the request to a minion.
            deadline: Monotonic seconds of the caller's deadline.
        """
        intent = attrs.evolve(intent, generation=self._sweeper.generation)
        claim = await self._claim_within(intent, deadline)
        if not isinstance(claim, _Held):
            kind = "served"
            if isinstance(claim, outcome.Refused):
                kind = claim.kind.value
            self._parts.metrics.count("intent_repeats", result=kind)
            return claim
        result = await run()
        final = _final(intent, result)
        storing = await curio.spawn(
            self._store, final, claim.version, daemon=True
        )
        wait_s = deadline - self._parts.clock.now()
        try:
            await curio.timeout_after(
                max(0.0, min(STORE_OUTCOME_WAIT_S, wait_s)), storing.wait
            )
        except curio.TaskTimeout:
            self._parts.metrics.count("intent_outcomes_late")
        return result

    async def _claim_within(self, intent: Intent, deadline: float) -> _Claim:
        """Claims a key, or gives up and releases it in the background."""
        claiming = await curio.spawn(self._claim, intent, deadline, daemon=True)
        left_s = deadline - self._parts.clock.now()
        try:
            await curio.timeout_after(max(0.0, left_s), claiming.wait)
        except curio.TaskTimeout:
            await curio.spawn(self._release, claiming, intent, daemon=True)
            return _store_unavailable("it was too slow")
        claim = claiming.result
        if isinstance(claim, _Held) and self._parts.clock.now() >= deadline:
            await curio.spawn(self._release, claiming, intent, daemon=True)
            return _store_unavailable("it was too slow")
        return claim

    async def _release(self, claiming: curio.Task, intent: Intent) -> None:
        """Frees a key that was claimed too late to be used."""
        await claiming.wait()
        claim = claiming.result
        if isinstance(claim, _Held):
            final = attrs.evolve(intent, state=State.NOT_RUN)
            await self._store(final, claim.version)

    async def _claim(self, intent: Intent, deadline: float) -> _Claim:
        version = 0
        while True:
            result = await self._batcher.write(intent, version)
            match result:
                case outcome.Committed(version=committed):
                    return _Held(committed)
                case outcome.Unavailable(reason=reason):
                    return _store_unavailable(reason)
            lost = isinstance(result, outcome.Unknown)
            found = await self._read_outcome(intent, lost, deadline)
            if not isinstance(found, _Free):
                return found
            version = found.version

    async def _read_outcome(
        self, intent: Intent, lost: bool, deadline: float
    ) -> "_Claim | _Free":
        """Reads who holds a key, and waits for the outcome for a while.

        Args:
            intent: The intent that could not be written for certain.
            lost: Whether the write may still take effect.
            deadline: Monotonic seconds of the caller's deadline.
        """
        pause_s = POLL_MIN_S
        while True:
            match await self._table.read(intent.key):
                case store.Found(row=row):
                    known = msgspec.msgpack.decode(row.value, type=Intent)
                case store.Absent() if not lost:
                    return _Free(0)
                case _:
                    log.emit(events.Events.INTENT_UNKNOWN, key=intent.key)
                    return _store_unavailable("its answer was lost")
            if known.token == intent.token:
                return _Held(row.version)
            if known.fingerprint != intent.fingerprint:
                return _other_request()
            if known.state is State.NOT_RUN:
                return _Free(row.version)
            left_s = deadline - self._parts.clock.now()
            if known.state is not State.PENDING or left_s <= 2 * pause_s:
                return _first_outcome(known)
            await curio.sleep(pause_s)
            pause_s = min(POLL_MAX_S, 2 * pause_s)

    async def _store(self, final: Intent, version: int) -> None:
        """Stores an outcome, trying again while the table is down."""
        for _ in range(STORE_OUTCOME_ATTEMPTS):
            result = await self._batcher.write(final, version)
            if isinstance(result, outcome.Committed | outcome.Conflict):
                return
            self._parts.metrics.count("intent_outcome_retries")
            await curio.sleep(STORE_OUTCOME_PAUSE_S)


def _final(intent: Intent, result: Result) -> Intent:
    match result:
        case messages.Served(body=body):
            kept = result if len(body) <= MAX_STORED_BYTES else None
            return attrs.evolve(intent, state=State.SERVED, served=kept)
        case outcome.Refused(ran=outcome.Ran.NO):
            return attrs.evolve(intent, state=State.NOT_RUN)
        case _:
            return attrs.evolve(intent, state=State.UNKNOWN)


def _first_outcome(known: Intent) -> Result:
    if known.served is not None:
        return known.served
    remedy = "look up whether it ran; its outcome is not known yet or at all"
    if known.state is State.SERVED:
        remedy = "look up its result; it ran, its answer was too long to keep"
    return outcome.Refused(outcome.Kind.DUPLICATE, remedy, outcome.Ran.UNKNOWN)


def _other_request() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.CONFLICT,
        "use a new Idempotency-Key; another request has this one",
    )


def _store_unavailable(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        "repeat later with the same Idempotency-Key; the platform's table "
        f"did not take the intent: {reason}",
    )
