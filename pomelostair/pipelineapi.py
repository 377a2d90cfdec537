"""What callers do with pipelines at an entry: submit, look, cancel, count.

A pipeline is accepted by one write of the entry itself, under the caller's id
and the condition that there is none yet. So every entry accepts, also while
nobody leads, and a repeated request is never accepted twice.
"""

import time

import attrs
import curio

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

# Pause before a write that certainly was not applied is tried once more.
RETRY_S = 0.05
MOST_RETRIES = 2
# Pause between two copies of a write whose answer was lost.
SETTLE_S = 0.1
# Wait for the leader before the store is asked for a state.
STATUS_TIMEOUT_S = 0.6
# What a caller is told to wait when the store is away: it is gone for seconds.
RETRY_AFTER_S = 1
# Part of the caller's time that is kept for the answer itself.
ANSWER_SHARE = 0.1


@attrs.frozen
class Accepted:
    """A pipeline or a cancellation is durable."""


@attrs.frozen
class NotFound:
    """No such pipeline is known."""


@attrs.frozen
class Status:
    """The state of a pipeline."""

    phase: pipeline.Phase


SubmitResult = Accepted | outcome.Refused
CancelResult = Accepted | NotFound | outcome.Refused
ShowResult = Status | NotFound | outcome.Refused


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class PipelineApi(kernel.Plugin):
    """Serves the callers of one entry."""

    requires = (entrypeers.EntryPeers, pipelineleader.PipelineLeader)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._peers = host.get(entrypeers.EntryPeers)
        self._leader = host.get(pipelineleader.PipelineLeader)
        self._table = self._peers.table
        self._clock = clock_module.BoottimeClock()

    @property
    def configured(self) -> bool:
        """Whether a configuration of queues is known."""
        return self._peers.queues.version > 0

    def match(self, host: str, path: str) -> queues.Queue | None:
        """Returns the queue that a path belongs to, if any."""
        return self._peers.queues.match(host, path)

    async def submit(
        self,
        queue: queues.Queue,
        declaration: pipeline.Declaration,
        timeout_s: float,
    ) -> SubmitResult:
        """Accepts a pipeline.

        Args:
            queue: Its queue.
            declaration: What the caller declared.
            timeout_s: Time that the caller waits.

        Returns:
            Accepted once it is durable, also when it was before. A refusal
            with `ran: no` promises that it never runs.
        """
        begun = self._clock.now()
        key = pipelinerows.declaration_key(declaration.id)
        put = store.Put(key, pipeline.encode(declaration))
        result = await self._create(put, begun + timeout_s * (1 - ANSWER_SHARE))
        took_s = self._clock.now() - begun
        self._parts.metrics.record(
            "submission_seconds",
            took_s,
            outcome=type(result).__name__.lower(),
        )
        if isinstance(result, outcome.Refused):
            self._refused("submit", declaration.id, queue, result, took_s)
            return result
        log.emit(
            events.Events.PIPELINE_ACCEPTED,
            pipeline=declaration.id,
            queue=queue.name,
            queues_version=self._peers.queues.version,
            stages=len(declaration.stages),
            tasks=sum(stage.count for stage in declaration.stages),
            took_ms=int(took_s * 1000),
            known=result.version == 0,
        )
        if result.version:
            await self._notify(store.Row(key, put.value, result.version))
        return Accepted()

    async def cancel(
        self, queue: queues.Queue, pipeline_id: str, timeout_s: float
    ) -> CancelResult:
        """Cancels a pipeline, for good once it is accepted."""
        begun = self._clock.now()
        deadline = begun + timeout_s * (1 - ANSWER_SHARE)
        known = await self._table.read(
            pipelinerows.declaration_key(pipeline_id)
        )
        match known:
            case store.Absent():
                return NotFound()
            case outcome.Unavailable(reason=reason):
                refused = _unavailable(reason)
                self._refused("cancel", pipeline_id, queue, refused, 0.0)
                return refused
        key = pipelinerows.cancellation_key(pipeline_id)
        result = await self._create(store.Put(key, b"\x01"), deadline)
        if isinstance(result, outcome.Refused):
            took_s = self._clock.now() - begun
            self._refused("cancel", pipeline_id, queue, result, took_s)
            return result
        log.emit(
            events.Events.PIPELINE_CANCELLED,
            pipeline=pipeline_id,
            queue=queue.name,
            took_ms=int((self._clock.now() - begun) * 1000),
        )
        if result.version:
            await self._notify(store.Row(key, b"\x01", result.version))
        return Accepted()

    async def show(self, pipeline_id: str) -> ShowResult:
        """Returns the state of a pipeline."""
        phase = await self._ask_leader(pipeline_id)
        if phase is not None:
            return Status(phase)
        return await self._read_state(pipeline_id)

    def pending(self, queue: queues.Queue) -> int | outcome.Refused:
        """Returns how many accepted pipelines of a queue have not begun."""
        counts = self._peers.pending
        if self._leader.leading:
            counts = self._peers.count_pending()
        if counts is None:
            refused = outcome.Refused(
                outcome.Kind.NO_LEADER, "repeat later; the leader is away"
            )
            self._refused("count", "", queue, refused, 0.0)
            return refused
        return counts.get(queue.name, 0)

    async def _create(
        self, put: store.Put, deadline: float
    ) -> outcome.Committed | outcome.Refused:
        """Writes a row that must not exist; version 0 if it existed."""
        transaction = store.Transaction((store.Check(put.key, 0),), (put,))
        unsure = False
        retries = 0
        reason = ""
        while self._clock.now() < deadline:
            result = await self._commit_before(transaction, deadline)
            match result:
                case outcome.Committed():
                    return result
                case outcome.Conflict():
                    return outcome.Committed(0)
                case outcome.Unknown(reason=reason):
                    unsure = True
                case outcome.Unavailable(reason=reason):
                    retries += 1
                    if not unsure and retries >= MOST_RETRIES:
                        return _unavailable(reason)
            await curio.sleep(SETTLE_S if unsure else RETRY_S)
        if unsure:
            return outcome.Refused(
                outcome.Kind.ANSWER_LOST,
                f"repeat with the same id; the store gave no answer: {reason}",
                outcome.Ran.UNKNOWN,
            )
        return _unavailable(reason)

    async def _commit_before(
        self, transaction: store.Transaction, deadline: float
    ) -> outcome.CommitResult:
        left_s = deadline - self._clock.now()
        try:
            return await curio.timeout_after(
                left_s, self._table.commit, transaction
            )
        except curio.TaskTimeout:
            return outcome.Unknown("the caller's time is over")

    async def _notify(self, row: store.Row) -> None:
        """Tells the leader; it also learns from the store, but later."""
        if self._leader.leading:
            await self._leader.apply_row(row)
            return
        seat = self._peers.leader
        if seat.bus:
            await curio.spawn(
                self._parts.bus.send,
                seat.bus,
                messages.RowStored(row),
                daemon=True,
            )

    async def _ask_leader(self, pipeline_id: str) -> pipeline.Phase | None:
        if self._leader.leading:
            return self._leader.status(pipeline_id)
        seat = self._peers.leader
        if not seat.bus or seat.bus == self._parts.bus.address:
            return None
        result = await self._parts.bus.call(
            seat.bus, messages.StatusQuery(pipeline_id), STATUS_TIMEOUT_S
        )
        match result:
            case bus_module.Answered(
                message=messages.StatusAnswer(phase=phase)
            ):
                return phase
        return None

    async def _read_state(self, pipeline_id: str) -> ShowResult:
        progress = await self._table.read(
            pipelinerows.progress_key(pipeline_id)
        )
        if isinstance(progress, store.Found):
            kept = pipeline.decode_progress(progress.row.value)
            if kept.phase in pipeline.TERMINAL_PHASES:
                return Status(kept.phase)
        declared = await self._table.read(
            pipelinerows.declaration_key(pipeline_id)
        )
        for found in (progress, declared):
            if isinstance(found, outcome.Unavailable):
                return _unavailable(found.reason)
        if isinstance(declared, store.Absent):
            return NotFound()
        if isinstance(progress, store.Found):
            return Status(pipeline.Phase.RUNNING)
        return Status(pipeline.Phase.QUEUED)

    def _refused(
        self,
        call: str,
        pipeline_id: str,
        queue: queues.Queue,
        refused: outcome.Refused,
        took_s: float,
    ) -> None:
        self._parts.metrics.count(
            "pipelines_refused", call=call, reason=refused.kind.value
        )
        log.emit(
            events.Events.PIPELINE_REFUSED,
            call=call,
            pipeline=pipeline_id,
            queue=queue.name,
            reason=refused.kind.value,
            detail=refused.message,
            ran=refused.ran.value,
            took_ms=int(took_s * 1000),
        )


def unix_ms() -> int:
    """Returns the time of day."""
    return int(time.time() * 1000)


def _unavailable(reason: str) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.STORE_UNAVAILABLE,
        f"repeat after {RETRY_AFTER_S} s; the store is away: {reason}",
    )
