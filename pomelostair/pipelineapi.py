"""The API of pipelines at an entry: submit, show, cancel and count.

The entry itself accepts a pipeline, by a conditional write that fails if a
pipeline with the caller's id exists. Every entry can therefore accept requests
without a leader, and a repeated request is idempotent.
"""

import time

import attrs
import curio
import msgspec

from pomelostair import bus as bus_module
from pomelostair import clock as clock_module
from pomelostair import entrypeers
from pomelostair import events
from pomelostair import kernel
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipeline
from pomelostair import pipelineleader
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinerows
from pomelostair import queues
from pomelostair import settings as settings_module
from pomelostair import store
from pomelostair import tokenbucket

# Pauses between the attempts of a write that was certainly not applied.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.2
# Share of the caller's timeout after which such a write is refused. Outages of
# the store may be shorter, and the caller retries only a few times.
HOLD_SHARE = 0.25
# Pause before repeating a write whose outcome is unknown.
UNKNOWN_RETRY_S = 0.1
# Longest wait for the leader's answer before the status is read from the store.
STATUS_TIMEOUT_S = 0.6
# Retry delay that callers are told; outages of the store last seconds.
RETRY_AFTER_S = 1
# Share of the caller's timeout that is reserved for sending the answer.
ANSWER_TIME_SHARE = 0.1
# Share of the store's writes that all entries together may use for tombstones,
# and the most tombstones that an entry writes at once.
TOMBSTONE_WRITES_SHARE = 0.02
MAX_TOMBSTONE_BURST = 20
_CANCELLATION = b"\x01"  # Value of the row of a cancellation.


@attrs.frozen
class Accepted:
    """The pipeline or cancellation is durable."""


@attrs.frozen
class NotFound:
    """There is no pipeline with this id."""


@attrs.frozen
class Status:
    """The status of a pipeline.

    Attributes:
        phase: Its phase.
    """

    phase: pipeline.Phase


SubmitResult = Accepted | outcome.Refused
CancelResult = Accepted | NotFound | outcome.Refused
ShowResult = Status | NotFound | outcome.Refused


@attrs.frozen
class _Deadline:
    """Time limits of a request.

    Attributes:
        started_s: Clock reading at its start.
        timeout_s: Time that the caller waits for the answer.
    """

    started_s: float
    timeout_s: float

    @property
    def answer_s(self) -> float:
        """Clock reading at which the answer must be sent."""
        return self.started_s + self.timeout_s * (1 - ANSWER_TIME_SHARE)

    @property
    def refuse_s(self) -> float:
        """Clock reading after which a write that was not applied is refused."""
        return self.started_s + self.timeout_s * HOLD_SHARE


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class PipelineApi(kernel.Plugin):
    """Serves the callers of an entry."""

    requires = (entrypeers.EntryPeers, pipelineleader.PipelineLeader)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._peers = host.get(entrypeers.EntryPeers)
        self._leader = host.get(pipelineleader.PipelineLeader)
        self._table = self._peers.table
        self._clock = clock_module.BoottimeClock()
        self._tombstone_bucket = tokenbucket.TokenBucket(MAX_TOMBSTONE_BURST)

    @property
    def configured(self) -> bool:
        """Whether a queue configuration has been received."""
        return self._peers.queues.version > 0

    def match(self, host: str, path: str) -> queues.Queue | None:
        """Returns the queue that serves a host and path, if any."""
        return self._peers.queues.match(host, path)

    async def submit(
        self,
        queue: queues.Queue,
        declaration: pipeline.Declaration,
        timeout_s: float,
    ) -> SubmitResult:
        """Accepts a pipeline.

        Args:
            queue: Queue of the pipeline.
            declaration: The caller's declaration.
            timeout_s: Time that the caller waits for the answer.

        Returns:
            `Accepted` once the pipeline is durable, also if it already was. A
            refusal with `Ran.NO` guarantees that this request never makes the
            pipeline run.
        """
        started_s = self._clock.now()
        result = await self._insert(
            declaration, _Deadline(started_s, timeout_s)
        )
        took_s = self._clock.now() - started_s
        self._parts.metrics.record(
            "submission_seconds",
            took_s,
            outcome=type(result).__name__.lower(),
        )
        if isinstance(result, outcome.Refused):
            self._record_refusal(
                "submit", declaration.id, queue, result, took_s
            )
            return result
        log.emit(
            events.Events.PIPELINE_ACCEPTED,
            pipeline=declaration.id,
            queue=queue.name,
            queues_version=self._peers.queues.version,
            stages=len(declaration.stages),
            tasks=sum(stage.count for stage in declaration.stages),
            took_ms=int(took_s * 1000),
            known=isinstance(result, outcome.Conflict),
        )
        return Accepted()

    async def _insert(
        self, declaration: pipeline.Declaration, deadline: _Deadline
    ) -> outcome.Committed | outcome.Conflict | outcome.Refused:
        """Writes a declaration.

        Returns:
            A conflict if the pipeline was accepted before.
        """
        key = pipelinerows.declaration_key(declaration.id)
        put = store.Put(key, pipeline.encode(declaration))
        # The first check that fails is named: a pipeline that was accepted and
        # then cancelled stays accepted.
        checks = (
            store.Check(key, 0),
            store.Check(pipelinerows.cancellation_key(declaration.id), 0),
        )
        result = await self._commit(store.Transaction(checks, (put,)), deadline)
        match result:
            case outcome.Committed(version=version):
                await self._notify_leader(store.Row(key, put.value, version))
            case outcome.Conflict(key=failed) if failed != key:
                return outcome.Refused(
                    outcome.Kind.CANCELLED,
                    "use another id; this one was cancelled before",
                )
        return result

    async def cancel(
        self, queue: queues.Queue, pipeline_id: str, timeout_s: float
    ) -> CancelResult:
        """Cancels a pipeline; an answered cancellation is permanent.

        It also holds for an unknown pipeline: a submission whose write is
        performed later, or that is repeated, is not accepted.

        Args:
            queue: Queue of the pipeline.
            pipeline_id: Id of the pipeline.
            timeout_s: Time that the caller waits for the answer.
        """
        started_s = self._clock.now()
        result = await self._cancel(
            pipeline_id, _Deadline(started_s, timeout_s)
        )
        took_s = self._clock.now() - started_s
        if isinstance(result, outcome.Refused):
            self._record_refusal("cancel", pipeline_id, queue, result, took_s)
            return result
        log.emit(
            events.Events.PIPELINE_CANCELLED,
            pipeline=pipeline_id,
            queue=queue.name,
            known=isinstance(result, Accepted),
            took_ms=int(took_s * 1000),
        )
        return result

    async def _cancel(
        self, pipeline_id: str, deadline: _Deadline
    ) -> CancelResult:
        declaration_key = pipelinerows.declaration_key(pipeline_id)
        key = pipelinerows.cancellation_key(pipeline_id)
        declaration = await self._table.read(declaration_key)
        # Without a check, a tombstone that exists is written again, and its
        # retention begins anew.
        checks = ()
        match declaration:
            case outcome.Unavailable(reason=reason):
                return _store_unavailable(reason)
            case store.Absent() if not self._may_write_tombstone():
                return outcome.Refused(
                    outcome.Kind.LIMITED,
                    f"repeat after {RETRY_AFTER_S} s; too many unknown"
                    " pipelines are being cancelled",
                )
            case store.Found():
                checks = (store.Check(key, 0),)
        put = store.Put(key, _CANCELLATION)
        result = await self._commit(store.Transaction(checks, (put,)), deadline)
        match result:
            case outcome.Refused():
                return result
            case outcome.Conflict():
                return Accepted()
        if isinstance(declaration, store.Absent):
            # Only now an absent declaration stays absent.
            declaration = await self._table.read(declaration_key)
        if isinstance(declaration, store.Absent):
            return NotFound()
        await self._notify_leader(store.Row(key, put.value, result.version))
        return Accepted()

    def _may_write_tombstone(self) -> bool:
        """Withdraws a tombstone; returns whether the limit allows it."""
        return self._tombstone_bucket.withdraw(
            self._tombstones_per_s, self._clock.now()
        )

    @property
    def _tombstones_per_s(self) -> float:
        """This entry's share of the writes that tombstones may take."""
        writes_per_s = self._parts.settings.platform.writes_per_s
        entries = 1 + len(self._peers.peers())
        return TOMBSTONE_WRITES_SHARE * writes_per_s / entries

    async def show(self, pipeline_id: str) -> ShowResult:
        """Returns the status, from the leader or else from the store."""
        phase = await self._ask_leader(pipeline_id)
        if phase is not None:
            return Status(phase)
        return await self._read_status(pipeline_id)

    def pending(self, queue: queues.Queue) -> int | outcome.Refused:
        """Returns the number of accepted pipelines without a started task."""
        counts = self._peers.pending
        if self._leader.leading:
            counts = self._peers.count_pending()
        if counts is None:
            refusal = outcome.Refused(
                outcome.Kind.NO_LEADER, "repeat later; no leader is available"
            )
            self._record_refusal("count", "", queue, refusal, 0.0)
            return refusal
        return counts.get(queue.name, 0)

    async def _commit(
        self, transaction: store.Transaction, deadline: _Deadline
    ) -> outcome.Committed | outcome.Conflict | outcome.Refused:
        """Applies an idempotent transaction.

        One whose outcome is unknown is repeated as long as the caller waits,
        one that was certainly not applied only for a part of that time.

        Args:
            transaction: The transaction.
            deadline: Deadline of the request.
        """
        maybe_written = False
        reason = ""
        pause_s = RETRY_MIN_S
        while self._clock.now() < deadline.answer_s:
            result = await self._commit_before(transaction, deadline.answer_s)
            match result:
                case outcome.Conflict(key=""):
                    reason = "the rows changed"
                case outcome.Committed() | outcome.Conflict():
                    return result
                case outcome.Unknown(reason=reason):
                    maybe_written = True
                case outcome.Unavailable(reason=reason):
                    if (
                        not maybe_written
                        and self._clock.now() + pause_s > deadline.refuse_s
                    ):
                        return _store_unavailable(reason)
            await curio.sleep(UNKNOWN_RETRY_S if maybe_written else pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)
        if maybe_written:
            return outcome.Refused(
                outcome.Kind.ANSWER_LOST,
                f"repeat with the same id; the store gave no answer: {reason}",
                outcome.Ran.UNKNOWN,
            )
        return _store_unavailable(reason)

    async def _commit_before(
        self, transaction: store.Transaction, deadline_s: float
    ) -> outcome.CommitResult:
        left_s = deadline_s - self._clock.now()
        try:
            return await curio.timeout_after(
                left_s, self._table.commit, transaction
            )
        except curio.TaskTimeout:
            return outcome.Unknown("the request timed out")

    async def _notify_leader(self, row: store.Row) -> None:
        """Sends a new row to the leader, which otherwise sees it later."""
        if self._leader.leading:
            await self._leader.apply_row(row)
            return
        leader_info = self._peers.leader
        if leader_info.bus:
            await self._parts.bus.post(leader_info.bus, messages.RowStored(row))

    async def _ask_leader(self, pipeline_id: str) -> pipeline.Phase | None:
        if self._leader.leading:
            return self._leader.status(pipeline_id)
        leader_info = self._peers.leader
        if not leader_info.bus or leader_info.bus == self._parts.bus.address:
            return None
        result = await self._parts.bus.call(
            leader_info.bus, messages.StatusQuery(pipeline_id), STATUS_TIMEOUT_S
        )
        match result:
            case bus_module.Answered(
                message=messages.StatusAnswer(phase=phase)
            ):
                return phase
        return None

    async def _read_status(self, pipeline_id: str) -> ShowResult:
        progress = await self._table.read(
            pipelinerows.progress_key(pipeline_id)
        )
        if isinstance(progress, store.Found):
            try:
                stored = pipeline.decode_progress(progress.row.value)
            except msgspec.MsgspecError as error:
                return _store_unavailable(
                    f"row {progress.row.key} is malformed: {error}"
                )
            if stored.phase in pipeline.TERMINAL_PHASES:
                return Status(stored.phase)
        declaration = await self._table.read(
            pipelinerows.declaration_key(pipeline_id)
        )
        for result in (progress, declaration):
            if isinstance(result, outcome.Unavailable):
                return _store_unavailable(result.reason)
        if isinstance(declaration, store.Absent):
            return NotFound()
        if isinstance(progress, store.Found):
            return Status(pipeline.Phase.RUNNING)
        return Status(pipeline.Phase.QUEUED)

    def _record_refusal(
        self,
        call: str,
        pipeline_id: str,
        queue: queues.Queue,
        refusal: outcome.Refused,
        took_s: float,
    ) -> None:
        self._parts.metrics.count(
            "pipelines_refused", call=call, reason=refusal.kind.value
        )
        log.emit(
            events.Events.PIPELINE_REFUSED,
            call=call,
            pipeline=pipeline_id,
            queue=queue.name,
            reason=refusal.kind.value,
            detail=refusal.message,
            ran=refusal.ran.value,
            took_ms=int(took_s * 1000),
        )


def unix_ms() -> int:
    """Returns the wall clock in Unix milliseconds."""
    return int(time.time() * 1000)


def _store_unavailable(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        f"repeat after {RETRY_AFTER_S} s; the store is unavailable: {reason}",
    )
