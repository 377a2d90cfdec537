"""The leader of the pipelines, which is one of the entries.

Every entry campaigns for one lease. The holder reads all pipelines from the
store, hears from every agent what runs, and schedules from memory. Whatever
must not be lost is committed together with the lease before it has an effect
outside: ends are forgotten by their workers, and states are shown to callers,
only after the commit.
"""

import time

import curio
import msgspec

from pomelostair import clock as clock_module
from pomelostair import entrypeers
from pomelostair import events
from pomelostair import fleet
from pomelostair import kernel
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipeline
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineregistry
from pomelostair import pipelinerows
from pomelostair import pipelinescheduler
from pomelostair import ports
from pomelostair import settings as settings_module
from pomelostair import store

# Several renewals fit into the lease.
RENEW_S = 0.45
# Changes are collected for this time before they are committed together.
COMMIT_WINDOW_S = 0.015
# Reports and acceptances are collected for this time before a round.
ROUND_WINDOW_S = 0.005
# A round runs at least so often, for due times, stalls and lapses.
ROUND_S = 0.25
# Silence of the leader after which others look at the lease row.
LEADER_TIMEOUT_S = 1.0
LOOK_S = 0.2
RETRY_S = 0.1
FEED_WAIT_S = 2.0
HELLO_S = 1.0
FORGET_S = 5.0
VACATE_TIMEOUT_S = 1.5
# Candidates take a free lease in a random order within this time.
TAKEOVER_JITTER_S = 0.05
# Cores that a leader of 70 workers needs (an entry took 0.93 on the grown site
# of Kantipur). Smaller hosts leave the lease to others for the time below.
LEADER_CORES = 1.0
STAND_BACK_S = 0.15
# Pause while no ticket is wanted, and after a call that failed; a step that
# still waits asks again in the next round.
ADVICE_S = 0.02
ADVICE_RETRY_S = 0.25
# Decisions take up to some hundred milliseconds, with other calls before them.
ADVICE_TIMEOUT_S = 5.0
CLOCK_DRIFT = 0.02  # The platform bounds the drift of its clocks by 2 %.
LAPSE_MARGIN_S = 0.25  # Delays between a reading of a clock and its use.


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class PipelineLeader(kernel.Plugin):
    """Campaigns for the lease and leads under it."""

    requires = (entrypeers.EntryPeers,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._peers = host.get(entrypeers.EntryPeers)
        self._peers.count_pending = self._count_pending
        self._table = self._peers.table
        self._clock = clock_module.BoottimeClock()
        self._lease = pipelinelease.PipelineLease(
            self._table, self._clock, parts.settings.name, parts.bus.address
        )
        grant_ms = parts.settings.pipelines.grant_ms
        self._grant_ms = grant_ms
        self._lapse_s = grant_ms / 1000 * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
        self._retention_ms = parts.settings.pipelines.retention_s * 1000
        self._scheduler: pipelinescheduler.PipelineScheduler | None = None
        self._leading = False
        self._stopping = False
        self._left = curio.Event()
        self._dirty = curio.Event()
        self._work = curio.Event()
        self._feed_version = 0
        self._renewed = 0.0
        self._hellos: dict[str, float] = {}
        advisor = parts.settings.pipelines.advisor
        self._advisor = parts.port.advisor(advisor) if advisor else None
        parts.bus.handle(messages.AgentReport, self._on_report)
        parts.bus.handle(messages.StatusQuery, self._on_status)
        parts.bus.handle(messages.RowStored, self._on_accepted)
        parts.metrics.gauge("leading", lambda: self._leading)
        parts.metrics.gauge("pipelines_held", self._count_held)

    @property
    def leading(self) -> bool:
        """Whether this process leads and has read everything."""
        return self._leading and self._lease.held

    async def run(self) -> None:
        """Campaigns and leads until cancelled."""
        while not self._stopping:
            observed = await self._look()
            if observed is None or not await self._lease.take(observed):
                continue
            try:
                await self._lead(observed)
                if self._stopping:
                    await self._hand_over()
            finally:
                self._leading = False
                self._scheduler = None
                log.emit(
                    events.Events.LEASE_LOST,
                    epoch=self._lease.epoch,
                    held=self._lease.held,
                )
                self._lease.release()
        await self._left.set()

    async def relinquish(self, timeout_s: float) -> None:
        """Gives the lease up, so that another entry leads at once."""
        self._stopping = True
        await self._dirty.set()
        await curio.ignore_after(timeout_s, self._left.wait)

    async def _hand_over(self) -> None:
        epoch = self._lease.epoch
        self._leading = False
        if await curio.ignore_after(VACATE_TIMEOUT_S, self._lease.vacate):
            log.emit(events.Events.LEASE_GIVEN_UP, epoch=epoch)
        self._peers.update_leader(messages.LeaderInfo(epoch))
        await self._peers.announce()

    def status(self, pipeline_id: str) -> pipeline.Phase | None:
        """Returns the durable state of a pipeline, None for an unknown one."""
        if self._scheduler is None:
            return None
        return self._scheduler.registry.phase(pipeline_id)

    async def apply_row(self, row: store.Row) -> None:
        """Takes in a row that an entry has stored."""
        if self._scheduler is not None and self._leading:
            self._take_row(row)
            await self._work.set()
            await self._dirty.set()

    def _count_held(self) -> int:
        return (
            0
            if self._scheduler is None
            else len(self._scheduler.registry.pipelines)
        )

    def _count_pending(self) -> dict[str, int] | None:
        if not self.leading or self._scheduler is None:
            return None
        return self._scheduler.registry.pending()

    async def _look(self) -> pipelinelease.Observed | None:
        """Waits until the lease may be free; returns what was read of it."""
        if (
            self._peers.leader_silence_s < LEADER_TIMEOUT_S
            and self._peers.leader.bus
        ):
            await curio.sleep(LOOK_S)
            return None
        observed = await self._lease.observe()
        if not isinstance(observed, pipelinelease.Observed):
            await curio.sleep(LOOK_S)
            return None
        if self._lease.is_free(observed):
            jitter_s = self._parts.random.uniform(0, TAKEOVER_JITTER_S)
            cores = self._parts.settings.pipelines.cores
            await curio.sleep(jitter_s + takeover_delay_s(cores))
            return observed
        row = observed.row
        # A row that was read is no sign of life of its holder.
        if row.epoch > self._peers.leader.epoch:
            self._peers.update_leader(
                messages.LeaderInfo(row.epoch, row.holder, row.bus)
            )
        left_s = -self._lease.lapsed_for_s(row)
        await curio.sleep(min(max(left_s, 0.05), LOOK_S))
        return None

    async def _lead(self, observed: pipelinelease.Observed) -> None:
        epoch = self._lease.epoch
        previous = observed.row
        lapsed_s = 0.0
        if previous is not None:
            lapsed_s = self._lease.lapsed_for_s(previous)
        log.emit(
            events.Events.LEASE_ACQUIRED,
            epoch=epoch,
            previous=previous.holder if previous else "",
            lapsed_s=round(lapsed_s, 3),
        )
        self._scheduler = pipelinescheduler.PipelineScheduler(
            epoch,
            self._lease.version,
            self._parts.metrics,
            _unix_ms,
            self._lapse_s,
        )
        self._scheduler.set_queues(self._peers.queues)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._commit_at_intervals)
            await group.spawn(self._recover_and_follow, lapsed_s)
            await group.spawn(self._schedule)
            await group.spawn(self._forget_at_intervals)
            await group.spawn(self._ask_advice)
        _ = group.result

    @property
    def _seat(self) -> messages.LeaderInfo:
        return messages.LeaderInfo(
            self._lease.epoch,
            self._parts.settings.name,
            self._parts.bus.address,
        )

    async def _recover_and_follow(self, lapsed_s: float) -> None:
        begun = self._clock.now()
        while not await self._recover(begun, lapsed_s):
            await curio.sleep(RETRY_S)
        self._leading = True
        self._peers.update_leader(self._seat)
        await self._peers.announce()
        for bus in self._scheduler.agents.values():
            await self._send(bus, messages.LeaderHello(self._seat))
        log.emit(
            events.Events.PIPELINES_RECOVERED,
            epoch=self._lease.epoch,
            pipelines=len(self._scheduler.registry.pipelines),
            agents=len(self._scheduler.agents),
            took_s=round(self._clock.now() - begun, 3),
        )
        await self._follow()

    async def _recover(self, begun: float, lapsed_s: float) -> bool:
        """Reads everything that is kept; returns whether that succeeded."""
        progress, agents = await self._scan_all(
            (pipelinerows.PROGRESS_PREFIX, pipelinerows.AGENTS_PREFIX)
        )
        if progress is None or agents is None:
            return False
        kept: dict[str, pipeline.Progress] = {}
        for row in progress.rows:
            name = row.key.rpartition("/")[2]
            kept[name] = pipeline.decode_progress(row.value)
        known = {
            row.key.rpartition("/")[2]: msgspec.msgpack.decode(
                row.value, type=fleet.Registration
            )
            for row in agents.rows
        }
        horizon = begun + self._lapse_s - max(0.0, lapsed_s)
        self._scheduler.expect_agents(known, horizon)
        declared = await self._read_pipelines(kept)
        if declared is None:
            return False
        # An earlier leader removed these declarations and then lost its lease.
        for name in kept.keys() - declared:
            self._scheduler.forget(name)
        return True

    async def _read_pipelines(
        self, kept: dict[str, pipeline.Progress]
    ) -> set[str] | None:
        """Reads all declarations and cancellations.

        Args:
            kept: Progress by id.

        Returns:
            Ids of all declarations, readable or not; None if reading failed.
        """
        found = await self._scan_all(
            tuple(
                map(
                    pipelinerows.partition_prefix,
                    range(pipelinerows.PARTITIONS),
                )
            )
        )
        if any(page is None for page in found):
            return None
        rows = [row for page in found for row in page.rows]
        # A cancellation counts only once its pipeline is known.
        rows.sort(key=lambda row: pipelinerows.is_cancellation(row.key))
        for row in rows:
            self._take_row(row, kept)
        self._feed_version = min(page.version for page in found)
        return {
            pipelinerows.pipeline_id_of(row.key)
            for row in rows
            if not pipelinerows.is_cancellation(row.key)
        }

    async def _scan_all(
        self, prefixes: tuple[str, ...]
    ) -> list[store.Page | None]:
        """Reads all rows under each prefix at once; None where that failed."""
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._scan, prefix) for prefix in prefixes
            ]
        return [task.result for task in tasks]

    async def _scan(self, prefix: str) -> store.Page | None:
        rows: list[store.Row] = []
        version = None
        after = ""
        while True:
            page = await self._table.scan(prefix, after)
            if not isinstance(page, store.Page):
                return None
            version = page.version if version is None else version
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return store.Page(tuple(rows), False, version)
            after = page.rows[-1].key

    def _take_row(
        self, row: store.Row, kept: dict[str, pipeline.Progress] | None = None
    ) -> None:
        try:
            match pipelinerows.decode(row):
                case pipelinerows.DeclarationRow(
                    declaration=declared, version=number
                ):
                    progress = (kept or {}).get(declared.id)
                    self._scheduler.registry.add(
                        declared,
                        number,
                        progress or pipeline.Progress(),
                        self._clock.now(),
                    )
                case pipelinerows.CancellationRow(id=pipeline_id):
                    self._scheduler.cancel(pipeline_id)
        except (msgspec.MsgspecError, ValueError) as error:
            self._parts.metrics.count("rows_ignored")
            log.emit(events.Events.ROW_IGNORED, key=row.key, reason=str(error))

    async def _follow(self) -> None:
        """Takes in what entries store while this process leads."""
        while True:
            changes = await self._table.watch(
                pipelinerows.TABLE, self._feed_version, FEED_WAIT_S
            )
            match changes:
                case store.Changes(rows=rows):
                    for row in rows:
                        self._take_row(row)
                    self._feed_version = changes.version
                    if rows:
                        await self._work.set()
                        await self._dirty.set()
                case store.HistoryGone():
                    if await self._read_pipelines({}) is None:
                        await curio.sleep(RETRY_S)
                    await self._work.set()
                case _:
                    await curio.sleep(RETRY_S)

    async def _commit_at_intervals(self) -> None:
        while not self._stopping:
            await curio.ignore_after(RENEW_S, self._dirty.wait)
            self._dirty.clear()
            await curio.sleep(COMMIT_WINDOW_S)
            if self._stopping or not await self._commit():
                return

    async def _commit(self) -> bool:
        """Commits what is due; returns whether the lease goes on."""
        scheduler = self._scheduler
        batch = scheduler.next_batch()
        if batch.is_empty and batch.ends and self._lease.held:
            await self._tell(scheduler.confirm(batch))
            if self._lease_is_young:
                return True
        begun = self._clock.now()
        result = await self._lease.commit(*_rows(batch))
        self._parts.metrics.record("commit_seconds", self._clock.now() - begun)
        match result:
            case outcome.Committed():
                self._renewed = begun
                await self._tell(scheduler.confirm(batch))
                if scheduler.has_uncommitted:
                    await self._dirty.set()
                return True
            case outcome.Unavailable(reason=reason):
                scheduler.registry.requeue(batch)
                self._parts.metrics.count("commits_failed")
                log.emit(
                    events.Events.LEASE_RENEWAL_FAILED,
                    reason=reason,
                    held=self._lease.held,
                )
                await curio.sleep(RETRY_S)
                await self._dirty.set()
                return True
        return False

    @property
    def _lease_is_young(self) -> bool:
        return self._clock.now() - self._renewed < RENEW_S

    async def _tell(self, workers: list[fleet.Worker]) -> None:
        for worker in workers:
            await self._instruct(worker, 0)

    async def _schedule(self) -> None:
        while True:
            await curio.ignore_after(ROUND_S, self._work.wait)
            self._work.clear()
            await curio.sleep(ROUND_WINDOW_S)
            if not self.leading:
                continue
            now = self._clock.now()
            self._scheduler.set_queues(self._peers.queues)
            self._scheduler.run_round(now)
            self._parts.metrics.record("round_seconds", self._clock.now() - now)
            if not self._lease.held:
                continue
            for worker in list(self._scheduler.workers.values()):
                orders = self._scheduler.orders_to_send(worker, now)
                if orders:
                    await self._instruct(worker, 0, orders)
            if self._scheduler.has_uncommitted:
                await self._dirty.set()
            await self._greet(now)

    async def _ask_advice(self) -> None:
        """Asks for tickets, one call at a time as the advisor answers them."""
        while True:
            question = None
            if self.leading and self._advisor is not None:
                question = self._scheduler.advice.next_question()
            if question is None:
                await curio.sleep(ADVICE_S)
                continue
            asked = self._clock.now()
            result = await self._advisor.advise(
                question.step,
                tuple(worker for worker, _ in question.workers),
                ADVICE_TIMEOUT_S,
            )
            took_s = self._clock.now() - asked
            self._parts.metrics.record("advice_seconds", took_s)
            match result:
                case ports.Advised(tickets=tickets):
                    self._scheduler.advice.answer(question, tickets, asked)
                    log.emit(
                        events.Events.ADVICE_TAKEN,
                        step=question.step,
                        asked=len(question.workers),
                        approved=len(tickets),
                        took_ms=int(took_s * 1000),
                    )
                    await self._work.set()
                case (
                    ports.Denied(reason=reason) | ports.NoAnswer(reason=reason)
                ):
                    self._parts.metrics.count("advice_failed")
                    log.emit(
                        events.Events.ADVICE_FAILED,
                        step=question.step,
                        reason=reason,
                    )
                    await curio.sleep(ADVICE_RETRY_S)

    async def _greet(self, now: float) -> None:
        """Asks agents that were not heard yet to report."""
        for name in self._scheduler.unreported_agents:
            if now - self._hellos.get(name, 0.0) > HELLO_S:
                self._hellos[name] = now
                bus = self._scheduler.agents[name]
                await self._send(bus, messages.LeaderHello(self._seat))

    async def _instruct(
        self,
        worker: fleet.Worker,
        lease_end_ms: int,
        orders: tuple[messages.Order, ...] = (),
    ) -> None:
        await self._send(
            worker.bus,
            messages.Instructions(
                self._seat,
                worker.id,
                worker.incarnation,
                lease_end_ms,
                worker.acknowledged_end,
                worker.applied_result,
                orders,
            ),
        )

    async def _send(self, bus: str, message: object) -> None:
        """Sends without waiting for a peer that can't be reached."""
        await curio.spawn(self._parts.bus.send, bus, message, daemon=True)

    async def _forget_at_intervals(self) -> None:
        """Removes the rows of pipelines that ended long ago.

        The declaration goes first: a progress without it is harmless, but a
        declaration without its progress would run again.
        """
        while True:
            await curio.sleep(FORGET_S)
            if not self.leading:
                continue
            for name in self._scheduler.registry.expired(self._retention_ms):
                keys = (
                    pipelinerows.declaration_key(name),
                    pipelinerows.cancellation_key(name),
                )
                result = await self._table.commit(
                    store.Transaction(deletes=keys)
                )
                if not isinstance(result, outcome.Committed):
                    break
                self._scheduler.forget(name)

    async def _on_report(self, message: messages.AgentReport, envelope) -> None:
        if not self.leading or message.epoch > self._lease.epoch:
            self._parts.metrics.count("reports_ignored")
            return
        now = self._clock.now()
        bus = envelope.reply_to
        if message.epoch < self._lease.epoch:
            await self._send(bus, messages.LeaderHello(self._seat))
            return
        for worker in self._scheduler.apply_report(
            message, bus, envelope.incarnation, now
        ):
            lease_end_ms = 0
            if worker.state.fresh and worker.state.reachable:
                lease_end_ms = worker.state.clock_ms + self._grant_ms
                worker.lease_granted_s = now
            await self._instruct(worker, lease_end_ms)
        if not message.workers:
            await self._send(
                bus, messages.Instructions(self._seat, "", 0, 0, 0, 0)
            )
        await self._work.set()
        if self._scheduler.has_uncommitted:
            await self._dirty.set()

    async def _on_status(self, message: messages.StatusQuery, envelope) -> None:
        if self.leading:
            answer = messages.StatusAnswer(self.status(message.id))
            await self._parts.bus.reply(envelope, answer)

    async def _on_accepted(
        self, message: messages.RowStored, _envelope
    ) -> None:
        await self.apply_row(message.row)


def _rows(
    batch: pipelineregistry.Batch,
) -> tuple[tuple[store.Put, ...], tuple[str, ...]]:
    puts = [
        store.Put(pipelinerows.progress_key(name), pipeline.encode(progress))
        for name, progress in batch.progress.items()
    ]
    puts.extend(
        store.Put(
            f"{pipelinerows.AGENTS_PREFIX}{name}",
            msgspec.msgpack.encode(registration),
        )
        for name, registration in batch.agents.items()
    )
    deletes = tuple(pipelinerows.progress_key(n) for n in batch.removed)
    return tuple(puts), deletes


def takeover_delay_s(cores: float) -> float:
    """Returns how long a candidate leaves a free lease to larger hosts.

    Args:
        cores: Processor time that its host gives it, in cores.
    """
    return STAND_BACK_S if cores < LEADER_CORES else 0.0


def _unix_ms() -> float:
    return time.time() * 1000
