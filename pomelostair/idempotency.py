"""Requests with an `Idempotency-Key`, run at most once across all entries.

Before such a request is sent, its key is claimed by a row in the platform's
table, the intent. Afterwards the outcome is stored in the row. A repeat at any
entry reads the row and returns the stored outcome, or a refusal if the outcome
is unknown. The writes of a short window share one transaction.
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
from pomelostair import codec
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import messages
from pomelostair import metrics as metrics_module
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import store

KEY_HEADER = "idempotency-key"
KEY_PREFIX = "intent/"
BATCH_WINDOW_S = 0.005
MAX_BATCH_ROWS = 100
MAX_STORED_BODY_BYTES = 256 * 1024
STORE_OUTCOME_ATTEMPTS = 20
STORE_OUTCOME_RETRY_INTERVAL_S = 0.5
STORE_OUTCOME_TIMEOUT_S = 1.0
POLL_INTERVAL_MIN_S = 0.05
POLL_INTERVAL_MAX_S = 0.5
RETENTION_S = 24 * 3600.0
SWEEP_INTERVAL_S = 600.0
RETAINED_GENERATIONS = 4
SWEEP_PAGE_ROWS = 100
SWEEP_PAGE_INTERVAL_S = 0.1
GENERATION_KEY = "intent-generation"

Result = messages.Served | outcome.Refused
RunRequest = Callable[[], Awaitable[Result]]


class State(enum.Enum):
    """State of the request that claimed a key."""

    PENDING = "pending"
    SERVED = "served"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@attrs.frozen
class Intent:
    """A row of the table, which claims an idempotency key.

    Attributes:
        key: Key of the row.
        fingerprint: Digest of the request's method, target and body.
        token: Random id of the claim; tells whose write took effect.
        state: State of the request.
        generation: Generation in which the row was created; it determines
            when the row is deleted.
        served: The answer, if it is small enough to be stored.
    """

    key: str
    fingerprint: str
    token: str
    state: State = State.PENDING
    generation: int = 0
    served: messages.Served | None = None


@attrs.frozen
class _Claimed:
    """This process has claimed the key; `version` is that of the row."""

    version: int


@attrs.frozen
class _Claimable:
    """The key can be claimed if its row is at `version`, 0 for no row."""

    version: int


_ClaimResult = _Claimed | outcome.Refused | messages.Served


def make_intent(service: str, key: str, serve: messages.Serve) -> Intent:
    """Returns a new intent for a caller's request."""
    key_bytes = "\0".join((service, serve.team, key)).encode()
    request_bytes = "\0".join((serve.method, serve.target)).encode()
    return Intent(
        key=KEY_PREFIX + hashlib.sha256(key_bytes).hexdigest(),
        fingerprint=hashlib.sha256(
            request_bytes + b"\0" + serve.body
        ).hexdigest(),
        token=uuid.uuid4().hex,
    )


@attrs.define(eq=False)
class _PendingWrite:
    """A row write that waits for its transaction."""

    intent: Intent
    version: int
    result: outcome.CommitResult | None = None
    done: curio.Event = attrs.field(factory=curio.Event)


class Batcher:
    """Combines the row writes of a short window into one transaction.

    Args:
        table: The platform's table.
        metrics: Metrics in which transactions are counted.
    """

    def __init__(self, table: store.Table, metrics: metrics_module.Metrics):
        self._table = table
        self._metrics = metrics
        self._waiting: list[_PendingWrite] = []
        self._write_added = curio.Event()

    async def write(self, intent: Intent, version: int) -> outcome.CommitResult:
        """Writes a row if it is at `version`, 0 for absent."""
        write = _PendingWrite(intent, version)
        self._waiting.append(write)
        await self._write_added.set()
        await write.done.wait()
        return write.result

    async def run(self) -> None:
        """Commits pending writes until cancelled."""
        while True:
            await self._write_added.wait()
            await curio.sleep(BATCH_WINDOW_S)
            self._write_added.clear()
            while batch := self._next_batch():
                await curio.spawn(self._commit, batch, daemon=True)

    def _next_batch(self) -> list[_PendingWrite]:
        """Removes and returns pending writes, at most one of each row."""
        batch: dict[str, _PendingWrite] = {}
        remaining = []
        for write in self._waiting:
            if write.intent.key in batch or len(batch) >= MAX_BATCH_ROWS:
                remaining.append(write)
            else:
                batch[write.intent.key] = write
        self._waiting = remaining
        return list(batch.values())

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        """Commits a batch; a conflict fails only the conflicting write."""
        pending = list(batch)
        while pending:
            result = await self._table.commit(_transaction(pending))
            self._metrics.count(
                "intent_commits", outcome=type(result).__name__.lower()
            )
            completed = _completed_writes(pending, result)
            for write in completed:
                write.result = result
                await write.done.set()
            pending = [write for write in pending if write not in completed]


def _transaction(batch: list[_PendingWrite]) -> store.Transaction:
    return store.Transaction(
        checks=tuple(store.Check(w.intent.key, w.version) for w in batch),
        puts=tuple(
            store.Put(w.intent.key, msgspec.msgpack.encode(w.intent))
            for w in batch
        ),
    )


def _completed_writes(
    batch: list[_PendingWrite], result: outcome.CommitResult
) -> list[_PendingWrite]:
    if not isinstance(result, outcome.Conflict):
        return batch
    conflicting_writes = [w for w in batch if w.intent.key == result.key]
    return conflicting_writes or batch


class Sweeper:
    """Deletes rows after the retention, without comparing wall clocks.

    Rows contain the generation in which they were created. An entry that has
    seen the same generation for half the retention starts the next one and
    deletes the rows of old generations.

    Args:
        table: The platform's table.
        clock: Clock that measures for how long a generation was seen.
    """

    def __init__(self, table: store.Table, clock: clock_module.Clock):
        self._table = table
        self._clock = clock
        self._version = 0
        self._generation = 0
        self._unchanged_since_s = clock.now()

    @property
    def generation(self) -> int:
        """The generation of new rows."""
        return self._generation

    async def run(self) -> None:
        """Sweeps at intervals until cancelled."""
        while True:
            await self.sweep_once()
            await curio.sleep(SWEEP_INTERVAL_S)

    async def sweep_once(self) -> None:
        """Reads the generation; starts the next one and deletes rows if due."""
        match await self._table.read(GENERATION_KEY):
            case store.Found(row=row):
                version, generation = row.version, int(row.value)
            case store.Absent():
                version, generation = 0, 0
            case _:
                return
        if version != self._version:
            self._unchanged_since_s = self._clock.now()
        self._version, self._generation = version, generation
        if self._clock.now() - self._unchanged_since_s < RETENTION_S / 2:
            return
        check = store.Check(GENERATION_KEY, version)
        put = store.Put(GENERATION_KEY, str(generation + 1).encode())
        transaction = store.Transaction((check,), (put,))
        if isinstance(await self._table.commit(transaction), outcome.Committed):
            await self._delete_expired(generation + 1 - RETAINED_GENERATIONS)

    async def _delete_expired(self, newest_generation: int) -> None:
        """Deletes the rows of generations up to `newest_generation`."""
        after = ""
        while True:
            page = await self._table.scan(KEY_PREFIX, after, SWEEP_PAGE_ROWS)
            if not isinstance(page, store.Page) or not page.rows:
                return
            expired_rows = [
                row
                for row in page.rows
                if _generation(row) <= newest_generation
            ]
            await self._table.commit(
                store.Transaction(
                    checks=tuple(
                        store.Check(r.key, r.version) for r in expired_rows
                    ),
                    deletes=tuple(row.key for row in expired_rows),
                )
            )
            after = page.rows[-1].key
            await curio.sleep(SWEEP_PAGE_INTERVAL_S)


def _generation(row: store.Row) -> int:
    return codec.decode_msgpack(row.value, Intent).generation


@kernel.plugin(settings_module.Role.ENTRY)
class Intents(kernel.Plugin):
    """Runs each request that has an idempotency key at most once."""

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._table = parts.table
        self._batcher = Batcher(parts.table, parts.metrics)
        self._sweeper = Sweeper(parts.table, parts.clock)

    async def run(self) -> None:
        """Commits intents and deletes old ones until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._batcher.run)
            await group.spawn(self._sweeper.run)

    async def run_once(
        self, intent: Intent, run_request: RunRequest, deadline: float
    ) -> Result:
        """Runs a request unless one with the same key may have run.

        Args:
            intent: Intent of the request.
            run_request: Sends the request to a minion.
            deadline: Deadline of the caller in monotonic seconds.

        Returns:
            The result of the request, or of the earlier one with its key.
        """
        intent = attrs.evolve(intent, generation=self._sweeper.generation)
        claim = await self._claim_before_deadline(intent, deadline)
        if not isinstance(claim, _Claimed):
            result_label = "served"
            if isinstance(claim, outcome.Refused):
                result_label = claim.kind.value
            self._parts.metrics.count("intent_repeats", result=result_label)
            return claim
        result = await run_request()
        final_intent = _final_intent(intent, result)
        store_task = await curio.spawn(
            self._store_outcome, final_intent, claim.version, daemon=True
        )
        remaining_s = deadline - self._parts.clock.now()
        try:
            await curio.timeout_after(
                max(0.0, min(STORE_OUTCOME_TIMEOUT_S, remaining_s)),
                store_task.wait,
            )
        except curio.TaskTimeout:
            self._parts.metrics.count("intent_outcomes_late")
        return result

    async def _claim_before_deadline(
        self, intent: Intent, deadline: float
    ) -> _ClaimResult:
        """Claims a key; a claim that is too late is released in background."""
        claim_task = await curio.spawn(
            self._claim, intent, deadline, daemon=True
        )
        remaining_s = deadline - self._parts.clock.now()
        try:
            await curio.timeout_after(max(0.0, remaining_s), claim_task.wait)
        except curio.TaskTimeout:
            await curio.spawn(
                self._release_late_claim, claim_task, intent, daemon=True
            )
            return _store_unavailable_refusal("it was too slow")
        claim = claim_task.result
        if isinstance(claim, _Claimed) and self._parts.clock.now() >= deadline:
            await curio.spawn(
                self._release_late_claim, claim_task, intent, daemon=True
            )
            return _store_unavailable_refusal("it was too slow")
        return claim

    async def _release_late_claim(
        self, claim_task: curio.Task, intent: Intent
    ) -> None:
        """Releases a key that was claimed after the deadline."""
        await claim_task.wait()
        claim = claim_task.result
        if isinstance(claim, _Claimed):
            final_intent = attrs.evolve(intent, state=State.NOT_RUN)
            await self._store_outcome(final_intent, claim.version)

    async def _claim(self, intent: Intent, deadline: float) -> _ClaimResult:
        version = 0
        while True:
            result = await self._batcher.write(intent, version)
            match result:
                case outcome.Committed(version=committed):
                    return _Claimed(committed)
                case outcome.Unavailable(reason=reason):
                    return _store_unavailable_refusal(reason)
            write_unresolved = isinstance(result, outcome.Unknown)
            existing = await self._read_existing(
                intent, write_unresolved, deadline
            )
            if not isinstance(existing, _Claimable):
                return existing
            version = existing.version

    async def _read_existing(
        self, intent: Intent, write_unresolved: bool, deadline: float
    ) -> "_ClaimResult | _Claimable":
        """Reads the intent that claimed a key and waits for its outcome.

        Args:
            intent: The intent whose write failed or has an unknown outcome.
            write_unresolved: Whether the write may still take effect.
            deadline: Deadline of the caller in monotonic seconds.
        """
        delay_s = POLL_INTERVAL_MIN_S
        while True:
            match await self._table.read(intent.key):
                case store.Found(row=row):
                    existing = codec.decode_msgpack(row.value, Intent)
                case store.Absent() if not write_unresolved:
                    return _Claimable(0)
                case _:
                    log.emit(events.Events.INTENT_UNKNOWN, key=intent.key)
                    return _store_unavailable_refusal("its answer was lost")
            if existing.token == intent.token:
                return _Claimed(row.version)
            if existing.fingerprint != intent.fingerprint:
                return _key_conflict_refusal()
            if existing.state is State.NOT_RUN:
                return _Claimable(row.version)
            remaining_s = deadline - self._parts.clock.now()
            if (
                existing.state is not State.PENDING
                or remaining_s <= 2 * delay_s
            ):
                return _existing_outcome(existing)
            await curio.sleep(delay_s)
            delay_s = min(POLL_INTERVAL_MAX_S, 2 * delay_s)

    async def _store_outcome(self, final_intent: Intent, version: int) -> None:
        """Stores an outcome, with retries while the table is unavailable."""
        for _ in range(STORE_OUTCOME_ATTEMPTS):
            result = await self._batcher.write(final_intent, version)
            if isinstance(result, outcome.Committed | outcome.Conflict):
                return
            self._parts.metrics.count("intent_outcome_retries")
            await curio.sleep(STORE_OUTCOME_RETRY_INTERVAL_S)


def _final_intent(intent: Intent, result: Result) -> Intent:
    match result:
        case messages.Served(body=body):
            stored_response = (
                result if len(body) <= MAX_STORED_BODY_BYTES else None
            )
            return attrs.evolve(
                intent, state=State.SERVED, served=stored_response
            )
        case outcome.Refused(ran=outcome.Ran.NO):
            return attrs.evolve(intent, state=State.NOT_RUN)
        case _:
            return attrs.evolve(intent, state=State.UNKNOWN)


def _existing_outcome(existing: Intent) -> Result:
    if existing.served is not None:
        return existing.served
    remedy = "look up whether it ran; its outcome is pending or unknown"
    if existing.state is State.SERVED:
        remedy = "look up its result; it ran, its answer was too big to store"
    return outcome.Refused(outcome.Kind.DUPLICATE, remedy, outcome.Ran.UNKNOWN)


def _key_conflict_refusal() -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.CONFLICT,
        "use a new Idempotency-Key; another request has used this one",
    )


def _store_unavailable_refusal(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        "repeat later with the same Idempotency-Key; the platform's table "
        f"did not store the intent: {reason}",
    )
