"""Leader election and the main loops of the pipeline leader.

Every entry campaigns for one lease, and its holder leads. The leader reads all
pipelines from the store, collects the agents' reports of what runs, and
schedules from memory. Changes that must survive a failover are committed in
the transaction that renews the lease. Only after that commit are attempt ends
acknowledged to the workers and states shown to callers.
"""

import time

import curio
import msgspec

from pomelostair import clock as clock_module
from pomelostair import entrypeers
from pomelostair import evacuationwatch
from pomelostair import events
from pomelostair import fleet
from pomelostair import kernel
from pomelostair import log
from pomelostair import outcome
from pomelostair import pipeline
from pomelostair import pipelinegrants
from pomelostair import pipelinelease
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineregistry
from pomelostair import pipelinerows
from pomelostair import pipelinescheduler
from pomelostair import pipelinetombstones
from pomelostair import ports
from pomelostair import settings as settings_module
from pomelostair import store
from pomelostair import tablewatch

# Short enough that several renewals fit into one lease.
RENEW_INTERVAL_S = 0.45
# Delay before a commit, so that it covers several changes.
COMMIT_WINDOW_S = 0.015
# Delay before a scheduling round, so that it covers several reports and newly
# accepted pipelines.
ROUND_WINDOW_S = 0.005
# Delay before a round, as a multiple of the time that the last one took. Thus
# long rounds leave the processor to reports and commits.
ROUND_PAUSE_FACTOR = 2.0
# Longest interval between rounds; due times, stalled attempts and lapsed leases
# are checked without any other trigger.
ROUND_INTERVAL_S = 0.25
# Time without news of the leader after which other entries read the lease row.
LEADER_TIMEOUT_S = 1.0
LEASE_POLL_S = 0.2
RETRY_S = 0.1
HELLO_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
# Interval at which a leader stores what it has learned about pairs of images.
LEARNED_INTERVAL_S = 5.0
VACATE_TIMEOUT_S = 1.5
# Reports of a worker are answered at this interval unless there is news for its
# agent. Shorter than the report interval, so that a regular report is answered.
GRANT_INTERVAL_S = 0.7
# Upper bound of the random delay before a candidate takes a free lease.
TAKEOVER_JITTER_S = 0.05
# Cores that a leader of 70 workers needs; it used 0.93 on the enlarged Kantipur
# site. Entries on smaller hosts delay their takeover by `SMALL_HOST_DELAY_S`.
MIN_LEADER_CORES = 1.0
SMALL_HOST_DELAY_S = 0.15
# Poll interval while no ticket is needed, and pause after a failed call. A step
# that still waits requests its tickets again in the next round.
ADVICE_POLL_S = 0.02
ADVICE_RETRY_S = 0.25
# One decision takes up to a few hundred milliseconds, and calls may queue.
ADVICE_TIMEOUT_S = 5.0


@kernel.plugin(settings_module.Role.PIPELINE_ENTRY)
class PipelineLeader(kernel.Plugin):
    """Campaigns for the lease and schedules pipelines while holding it."""

    requires = (entrypeers.EntryPeers,)

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._peers = host.get(entrypeers.EntryPeers)
        self._peers.count_pending = self._count_pending
        self._table = self._peers.table
        self._clock = clock_module.BoottimeClock()
        self._max_lease_s = pipelinegrants.longest_lease_s(
            parts.settings.pipelines.grant_ms
        )
        self._lease = pipelinelease.PipelineLease(
            self._table,
            self._clock,
            parts.settings.name,
            parts.bus.address,
            worker_leases_s(self._max_lease_s),
        )
        self._retention_ms = parts.settings.pipelines.retention_s * 1000
        self._tombstones = self._new_tombstones()
        self._scheduler: pipelinescheduler.PipelineScheduler | None = None
        self._leading = False
        self._stopping = False
        self._run_ended = curio.Event()
        self._commit_requested = curio.Event()
        self._round_requested = curio.Event()
        self._watched_version = 0
        # Pipelines whose progress could not be decoded. They are not scheduled,
        # since tasks that are done would run again.
        self._unreadable: set[str] = set()
        self._last_renewal_s = 0.0
        self._stored_learned_s = 0.0
        self._hello_sent_s: dict[str, float] = {}
        # Workers that reported although the stored lease row lists them as
        # silent, or leases are short; they are granted leases once a further
        # row is stored.
        self._withheld: set[fleet.WorkerKey] = set()
        # Whether the lease had lapsed and leases of workers are short until a
        # further renewal is stored.
        self._extension_due = False
        advisor = parts.settings.pipelines.advisor
        self._evacuations: evacuationwatch.EvacuationWatch | None = None
        self._advisor = parts.port.advisor(advisor) if advisor else None
        parts.bus.handle(messages.AgentReport, self._on_report)
        parts.bus.handle(messages.StatusQuery, self._on_status)
        parts.bus.handle(messages.RowStored, self._on_row_stored)
        parts.metrics.gauge("leading", lambda: self._leading)
        parts.metrics.gauge("pipelines_held", self._count_held)
        parts.metrics.gauge("tombstones_held", lambda: len(self._tombstones))
        self._register_evacuation_gauges()

    @property
    def leading(self) -> bool:
        """Whether this process holds the lease and has recovered its state."""
        return self._leading and self._lease.is_held

    async def run(self) -> None:
        """Campaigns and leads until cancelled."""
        while not self._stopping:
            observed = await self._poll_lease()
            if observed is None or not await self._lease.acquire(observed):
                continue
            try:
                await self._lead(observed)
                if self._stopping:
                    await self._vacate_lease()
            finally:
                self._leading = False
                self._scheduler = None
                self._evacuations = None
                log.emit(
                    events.Events.LEASE_LOST,
                    epoch=self._lease.epoch,
                    held=self._lease.is_held,
                )
                self._lease.discard_lease()
        await self._run_ended.set()

    async def relinquish(self, timeout_s: float) -> None:
        """Vacates the lease, so that another entry can take it at once."""
        self._stopping = True
        await self._commit_requested.set()
        await curio.ignore_after(timeout_s, self._run_ended.wait)

    async def _vacate_lease(self) -> None:
        epoch = self._lease.epoch
        self._leading = False
        if await curio.ignore_after(VACATE_TIMEOUT_S, self._lease.vacate):
            log.emit(events.Events.LEASE_GIVEN_UP, epoch=epoch)
        self._peers.update_leader(messages.LeaderInfo(epoch))
        await self._peers.announce()

    def status(self, pipeline_id: str) -> pipeline.Phase | None:
        """Returns the durable phase of a pipeline, None for an unknown one."""
        if self._scheduler is None:
            return None
        return self._scheduler.registry.phase(pipeline_id)

    async def apply_row(self, row: store.Row) -> None:
        """Applies a row that an entry has stored, if this process leads."""
        if self._scheduler is not None and self._leading:
            self._apply_to_registry(row)
            await self._round_requested.set()
            await self._commit_requested.set()

    def _new_tombstones(self) -> pipelinetombstones.Tombstones:
        return pipelinetombstones.Tombstones(self._retention_ms / 1000)

    def _register_evacuation_gauges(self) -> None:
        """Registers gauges of evacuations; they are 0 unless this leads."""
        for name, count in {
            "zones_evacuated": lambda s: len(s.evacuation.zones),
            "zones_evacuated_unknown": (
                lambda s: len(s.evacuation.unknown_zones)
            ),
            "workers_evacuated": lambda s: s.evacuation.evacuated_workers,
            "lasting_tasks_evacuated": lambda s: s.evacuated_lasting_tasks,
            "services_evacuated": lambda s: len(s.evacuation.blocked_services),
        }.items():
            self._parts.metrics.gauge(
                name,
                lambda count=count: (
                    0 if self._scheduler is None else count(self._scheduler)
                ),
            )
        self._parts.metrics.gauge(
            "evacuations_age_seconds",
            lambda: (
                0.0 if self._evacuations is None else self._evacuations.age_s
            ),
        )

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

    async def _poll_lease(self) -> pipelinelease.ObservedLease | None:
        """Checks the lease once, and waits before the next check is due.

        Returns:
            The observed lease if it is free, else None.
        """
        if (
            self._peers.leader_silence_s < LEADER_TIMEOUT_S
            and self._peers.leader.bus
        ):
            await curio.sleep(LEASE_POLL_S)
            return None
        observed = await self._lease.read_lease()
        if not isinstance(observed, pipelinelease.ObservedLease):
            await curio.sleep(LEASE_POLL_S)
            return None
        if self._lease.is_available(observed):
            jitter_s = self._parts.random.uniform(0, TAKEOVER_JITTER_S)
            cores = self._parts.settings.pipelines.cores
            await curio.sleep(jitter_s + takeover_delay_s(cores))
            return observed
        row = observed.row
        if row is None:
            await curio.sleep(LEASE_POLL_S)
            return None
        # Only a newer epoch is reported: the row remains when its holder fails,
        # so reading it again must not reset the leader's silence.
        if row.epoch > self._peers.leader.epoch:
            self._peers.update_leader(
                messages.LeaderInfo(row.epoch, row.holder, row.bus)
            )
        left_s = -self._lease.lapsed_for_s(row)
        await curio.sleep(min(max(left_s, 0.05), LEASE_POLL_S))
        return None

    async def _lead(self, observed: pipelinelease.ObservedLease) -> None:
        epoch = self._lease.epoch
        previous = observed.row
        lapsed_s = 0.0
        if previous is not None:
            lapsed_s = self._lease.lapsed_for_s(previous)
        leases_left_s = None
        if observed.handover.leases_end_ms is not None:
            leases_end_s = self._lease.local_time_s(
                observed.handover.leases_end_ms
            )
            leases_left_s = round(leases_end_s - self._clock.now(), 3)
        log.emit(
            events.Events.LEASE_ACQUIRED,
            epoch=epoch,
            previous=previous.holder if previous else "",
            lapsed_s=round(lapsed_s, 3),
            worker_leases_left_s=leases_left_s,
        )
        self._scheduler = pipelinescheduler.PipelineScheduler(
            epoch,
            self._lease.version,
            self._parts.metrics,
            _unix_ms,
            self._max_lease_s,
            self._parts.settings.pipelines.remote_factor,
            self._parts.settings.pipelines.learn_speeds,
            self._parts.settings.pipelines.learn_run_times,
            self._parts.settings.pipelines.cold_workers,
        )
        self._scheduler.set_queues(self._peers.queues)
        self._evacuations = self._new_evacuation_watch()
        self._tombstones = self._new_tombstones()
        self._withheld.clear()
        self._extension_due = False
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._commit_at_intervals)
            await group.spawn(self._recover_and_watch, observed.handover)
            await group.spawn(self._schedule)
            await group.spawn(self._delete_expired_at_intervals)
            await group.spawn(self._request_tickets)
            if self._evacuations is not None:
                await group.spawn(self._evacuations.run)
        _ = group.result

    def _new_evacuation_watch(self) -> evacuationwatch.EvacuationWatch | None:
        evacuate_ms = self._parts.settings.pipelines.evacuate_ms
        if not evacuate_ms:
            return None
        return evacuationwatch.EvacuationWatch(
            self._table,
            self._parts.port,
            evacuate_ms,
            self._parts.metrics,
            self._clock,
            self._set_evacuated_zones,
        )

    async def _set_evacuated_zones(self, zones: frozenset[str]) -> None:
        self._scheduler.set_evacuated_zones(zones, self._clock.now())
        await self._round_requested.set()

    @property
    def _leader_info(self) -> messages.LeaderInfo:
        return messages.LeaderInfo(
            self._lease.epoch,
            self._parts.settings.name,
            self._parts.bus.address,
        )

    async def _recover_and_watch(
        self, handover: pipelinelease.Handover
    ) -> None:
        started_s = self._clock.now()
        while not await self._recover(started_s, handover):
            await curio.sleep(RETRY_S)
        if self._evacuations is not None:
            await self._evacuations.wait_until_known()
        self._leading = True
        self._peers.update_leader(self._leader_info)
        await self._peers.announce()
        for bus in self._scheduler.agents.values():
            await self._send(bus, messages.LeaderHello(self._leader_info))
        log.emit(
            events.Events.PIPELINES_RECOVERED,
            epoch=self._lease.epoch,
            pipelines=len(self._scheduler.registry.pipelines),
            agents=len(self._scheduler.agents),
            took_s=round(self._clock.now() - started_s, 3),
        )
        await self._watch_rows()

    async def _recover(
        self, started_s: float, handover: pipelinelease.Handover
    ) -> bool:
        """Reads the stored state; returns whether that succeeded.

        Args:
            started_s: Clock reading at the start of the term.
            handover: What the previous leader left in the lease row.
        """
        self._unreadable.clear()
        progress, agents = await self._scan_all(
            (pipelinerows.PROGRESS_PREFIX, pipelinerows.AGENTS_PREFIX)
        )
        if progress is None or agents is None:
            return False
        stored_progress: dict[str, pipeline.Progress] = {}
        for row in progress.rows:
            pipeline_id = pipelinerows.pipeline_id_of(row.key)
            try:
                stored_progress[pipeline_id] = pipeline.decode_progress(
                    row.value
                )
            except msgspec.MsgspecError as error:
                self._unreadable.add(pipeline_id)
                self._record_ignored_row(row.key, str(error))
        registrations: dict[str, fleet.Registration] = {}
        unreadable: list[str] = []
        for row in agents.rows:
            name = row.key.rpartition("/")[2]
            try:
                registrations[name] = pipelinerows.decode_registration(row)
            except msgspec.MsgspecError as error:
                unreadable.append(name)
                self._record_ignored_row(row.key, str(error))
        leases_lapse_s = started_s + self._max_lease_s
        if handover.leases_end_ms is not None:
            leases_lapse_s = min(
                leases_lapse_s, self._lease.local_time_s(handover.leases_end_ms)
            )
        self._scheduler.expect_agents(
            registrations,
            leases_lapse_s,
            unreadable,
            handover.placements_recorded,
            {
                (silent.worker, silent.life): self._lease.local_time_s(
                    silent.end_ms
                )
                for silent in handover.silent
            },
        )
        declared_ids = await self._read_pipelines(stored_progress)
        if declared_ids is None:
            return False
        await self._adopt_learned()
        # An earlier leader deleted these declarations, but lost its lease
        # before it deleted their progress.
        for pipeline_id in stored_progress.keys() - declared_ids:
            self._scheduler.forget(pipeline_id)
        return True

    def _record_ignored_row(self, key: str, reason: str) -> None:
        self._parts.metrics.count("rows_ignored")
        log.emit(events.Events.ROW_IGNORED, key=key, reason=reason)

    async def _read_pipelines(
        self, stored_progress: dict[str, pipeline.Progress]
    ) -> set[str] | None:
        """Reads all declarations and cancellations.

        Args:
            stored_progress: Progress by pipeline id.

        Returns:
            Ids of all declarations, including those that could not be decoded;
            None if reading failed.
        """
        pages = await self._scan_all(
            tuple(
                map(
                    pipelinerows.partition_prefix,
                    range(pipelinerows.PARTITIONS),
                )
            )
        )
        if any(page is None for page in pages):
            return None
        rows = [row for page in pages for row in page.rows]
        # A cancellation has no effect before its pipeline has been added.
        rows.sort(key=lambda row: pipelinerows.is_cancellation(row.key))
        for row in rows:
            self._apply_to_registry(row, stored_progress)
        self._watched_version = min(page.version for page in pages)
        return {
            pipelinerows.pipeline_id_of(row.key)
            for row in rows
            if not pipelinerows.is_cancellation(row.key)
        }

    async def _scan_all(
        self, prefixes: tuple[str, ...]
    ) -> list[store.Page | None]:
        """Scans the prefixes concurrently; a failed scan yields None."""
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._scan, prefix) for prefix in prefixes
            ]
        return [task.result for task in tasks]

    async def _scan(self, prefix: str) -> store.Page | None:
        page = await store.scan_all(self._table, prefix)
        return page if isinstance(page, store.Page) else None

    def _apply_to_registry(
        self,
        row: store.Row,
        stored_progress: dict[str, pipeline.Progress] | None = None,
    ) -> bool:
        """Applies a row that an entry has stored.

        Args:
            row: A declaration or a cancellation.
            stored_progress: Progress by pipeline id.

        Returns:
            Whether it concerns a pipeline that is held.
        """
        try:
            match pipelinerows.decode(row):
                case pipelinerows.DeclarationRow(
                    declaration=declaration, version=version
                ):
                    if declaration.id in self._unreadable:
                        return False
                    progress = (stored_progress or {}).get(declaration.id)
                    self._scheduler.registry.add(
                        declaration,
                        version,
                        progress or pipeline.Progress(placed={}),
                        self._clock.now(),
                    )
                case pipelinerows.CancellationRow(
                    id=pipeline_id, version=version
                ):
                    if pipeline_id not in self._scheduler.registry.pipelines:
                        self._tombstones.record(
                            pipeline_id, version, self._clock.now()
                        )
                        return False
                    self._scheduler.cancel(pipeline_id)
        except (msgspec.MsgspecError, ValueError) as error:
            self._record_ignored_row(row.key, str(error))
            return False
        return True

    async def _watch_rows(self) -> None:
        """Applies the rows that entries store while this process leads."""
        reconnect_ms = self._parts.settings.pipelines.reconnect_ms
        wait_s = tablewatch.watch_wait_s(reconnect_ms)
        watch = tablewatch.BoundedWatch(
            self._table, pipelinerows.TABLE, wait_s, self._clock
        )
        while True:
            changes = await watch.wait_for_changes(self._watched_version)
            match changes:
                case store.Changes(rows=rows):
                    held = [self._apply_to_registry(row) for row in rows]
                    self._watched_version = changes.version
                    if any(held):
                        await self._round_requested.set()
                        await self._commit_requested.set()
                case store.HistoryGone():
                    if await self._read_pipelines({}) is None:
                        await curio.sleep(RETRY_S)
                    await self._round_requested.set()
                case None:
                    # Reading all rows afresh would cost a slow store more.
                    self._parts.metrics.count("row_watches_lost")
                    watch.double_margin()
                case _:
                    await curio.sleep(RETRY_S)

    async def _commit_at_intervals(self) -> None:
        while not self._stopping:
            await curio.ignore_after(
                RENEW_INTERVAL_S, self._commit_requested.wait
            )
            self._commit_requested.clear()
            await curio.sleep(COMMIT_WINDOW_S)
            if self._stopping or not await self._commit():
                return

    async def _commit(self) -> bool:
        """Commits pending changes; returns whether the lease may be kept."""
        scheduler = self._scheduler
        batch = scheduler.next_batch()
        if (
            batch.is_empty
            and batch.ends
            and self._lease.is_held
            and not self._withheld
        ):
            await self._notify_agents(scheduler.confirm(batch))
            if self._renewed_recently:
                return True
        started_s = self._clock.now()
        puts, deletes = _batch_changes(batch)
        handover = self._handover(started_s) if self.leading else None
        result = await self._lease.commit(
            puts + self._learned_puts(started_s),
            deletes,
            handover,
        )
        self._parts.metrics.record(
            "commit_seconds", self._clock.now() - started_s
        )
        match result:
            case outcome.Committed():
                self._last_renewal_s = started_s
                scheduler.record_commit(started_s)
                if handover is not None:
                    self._extension_due = False
                    await self._grant_withheld()
                elif self._leading:
                    self._extension_due = True
                    await self._commit_requested.set()
                await self._notify_agents(scheduler.confirm(batch))
                if scheduler.has_uncommitted:
                    await self._commit_requested.set()
                return True
            case outcome.Unavailable(reason=reason):
                scheduler.registry.requeue(batch)
                scheduler.grants.cancel()
                self._parts.metrics.count("commits_failed")
                log.emit(
                    events.Events.LEASE_RENEWAL_FAILED,
                    reason=reason,
                    held=self._lease.is_held,
                )
                await curio.sleep(RETRY_S)
                await self._commit_requested.set()
                return True
        return False

    def _handover(self, now_s: float) -> pipelinelease.Handover:
        """Returns what the next leader learns from the lease row."""
        silent = []
        listed = self._scheduler.next_silent(now_s)
        for (worker, life), lapse_s in listed.items():
            end_ms = self._lease.store_time_ms(lapse_s)
            if end_ms is not None:
                silent.append(pipelinelease.LeaseEnd(worker, life, end_ms))
        return pipelinelease.Handover(
            self._scheduler.placements_recorded, tuple(silent)
        )

    async def _grant_withheld(self) -> None:
        """Grants leases to workers that the stored row no longer lists."""
        self._scheduler.grants.confirm(self._lease.worker_leases_end_s)
        withheld, self._withheld = self._withheld, set()
        now_s = self._clock.now()
        for key in withheld:
            worker = self._scheduler.workers.get(key)
            if worker is not None:
                await self._answer_report(worker, now_s)

    def _learned_puts(self, now_s: float) -> tuple[store.Put, ...]:
        """Returns the row of learned pairs of images when it is due.

        A lost row costs the next leader some seconds of learning, so it is not
        written again after a failed commit.
        """
        if (
            not self.leading
            or now_s - self._stored_learned_s < LEARNED_INTERVAL_S
        ):
            return ()
        self._stored_learned_s = now_s
        value = pipelinerows.encode_learned(self._scheduler.contention)
        return (store.Put(pipelinerows.LEARNED_KEY, value),)

    async def _adopt_learned(self) -> None:
        """Begins with what earlier leaders learned about pairs of images."""
        reason = ""
        match await self._table.read(pipelinerows.LEARNED_KEY):
            case store.Found(row=row):
                try:
                    learned = pipelinerows.decode_learned(row)
                    self._scheduler.contention.adopt(learned, self._clock.now())
                except msgspec.MsgspecError as error:
                    reason = str(error)
            case outcome.Unavailable(reason=reason):
                pass
        if reason:
            self._record_ignored_row(pipelinerows.LEARNED_KEY, reason)

    @property
    def _renewed_recently(self) -> bool:
        return self._clock.now() - self._last_renewal_s < RENEW_INTERVAL_S

    async def _notify_agents(self, workers: list[fleet.Worker]) -> None:
        """Acknowledges ends and sends the orders that a commit released."""
        now_s = self._clock.now()
        for worker in workers:
            orders: tuple[messages.Order, ...] = ()
            if worker.unconfirmed_orders and self._lease.is_held:
                orders = self._scheduler.orders_to_send(worker, now_s)
            await self._send_instructions(worker, 0, orders)

    async def _schedule(self) -> None:
        took_s = 0.0
        while True:
            await curio.ignore_after(
                ROUND_INTERVAL_S, self._round_requested.wait
            )
            self._round_requested.clear()
            await curio.sleep(round_delay_s(took_s))
            if not self.leading:
                continue
            now_s = self._clock.now()
            self._scheduler.set_queues(self._peers.queues)
            self._scheduler.run_round(now_s)
            took_s = self._clock.now() - now_s
            self._parts.metrics.record("round_seconds", took_s)
            if not self._lease.is_held:
                continue
            for worker in list(self._scheduler.workers.values()):
                if not worker.unconfirmed_orders:
                    continue
                orders = self._scheduler.orders_to_send(worker, now_s)
                if orders:
                    await self._send_instructions(worker, 0, orders)
            if self._scheduler.has_uncommitted:
                await self._commit_requested.set()
            await self._send_hellos(now_s)

    async def _request_tickets(self) -> None:
        """Requests tickets, one call at a time, as the advisor serves them."""
        while True:
            request = None
            if self.leading and self._advisor is not None:
                request = self._scheduler.advice.next_request()
            if request is None:
                await curio.sleep(ADVICE_POLL_S)
                continue
            asked_s = self._clock.now()
            result = await self._advisor.advise(
                request.step,
                tuple(worker for worker, _ in request.workers),
                ADVICE_TIMEOUT_S,
            )
            took_s = self._clock.now() - asked_s
            self._parts.metrics.record("advice_seconds", took_s)
            match result:
                case ports.Advised(tickets=tickets):
                    self._scheduler.advice.apply_answer(
                        request, tickets, asked_s
                    )
                    log.emit(
                        events.Events.ADVICE_TAKEN,
                        step=request.step,
                        asked=len(request.workers),
                        approved=len(tickets),
                        took_ms=int(took_s * 1000),
                    )
                    await self._round_requested.set()
                case (
                    ports.Denied(reason=reason) | ports.NoAnswer(reason=reason)
                ):
                    self._parts.metrics.count("advice_failed")
                    log.emit(
                        events.Events.ADVICE_FAILED,
                        step=request.step,
                        reason=reason,
                    )
                    await curio.sleep(ADVICE_RETRY_S)

    async def _send_hellos(self, now_s: float) -> None:
        """Asks agents that have not yet reported to do so."""
        buses = self._scheduler.agents
        for agent in self._scheduler.unreported_agents:
            if (
                agent in buses
                and now_s - self._hello_sent_s.get(agent, 0.0)
                > HELLO_INTERVAL_S
            ):
                self._hello_sent_s[agent] = now_s
                await self._send(
                    buses[agent], messages.LeaderHello(self._leader_info)
                )

    async def _send_instructions(
        self,
        worker: fleet.Worker,
        lease_end_ms: int,
        orders: tuple[messages.Order, ...] = (),
    ) -> None:
        await self._send(
            worker.bus,
            messages.Instructions(
                self._leader_info,
                worker.id,
                worker.incarnation,
                lease_end_ms,
                worker.acknowledged_end,
                worker.applied_result,
                orders,
                worker.confirmed_order,
                int(1000 * self._scheduler.report_interval_s(worker)),
                self._scheduler.last_report(worker.agent),
            ),
        )

    async def _send(self, bus: str, message: object) -> None:
        """Sends a message; an unreachable peer delays nothing."""
        await self._parts.bus.post(bus, message)

    async def _delete_expired_at_intervals(self) -> None:
        """Deletes the rows of pipelines whose retention has passed.

        The declaration is deleted first: progress without a declaration is
        harmless, but a declaration without progress would run again.
        """
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            if not self.leading:
                continue
            for pipeline_id in self._scheduler.registry.expired(
                self._retention_ms
            ):
                keys = (
                    pipelinerows.declaration_key(pipeline_id),
                    pipelinerows.cancellation_key(pipeline_id),
                )
                result = await self._table.commit(
                    store.Transaction(deletes=keys)
                )
                if not isinstance(result, outcome.Committed):
                    break
                self._scheduler.forget(pipeline_id)
            await self._delete_expired_tombstones()

    async def _delete_expired_tombstones(self) -> None:
        """Deletes expired tombstones, until the store does not answer."""
        for batch in self._tombstones.expired(self._clock.now()):
            left = batch
            while left:
                done = await self._delete_tombstones(left)
                if not done:
                    return
                for tombstone in done:
                    self._tombstones.discard(tombstone)
                left = [t for t in left if t not in done]

    async def _delete_tombstones(
        self, batch: list[pipelinetombstones.Tombstone]
    ) -> list[pipelinetombstones.Tombstone]:
        """Deletes tombstones of one partition.

        Returns:
            Those that need no further deletion: all, or the first one that was
            written again or is no tombstone.
        """
        result = await self._table.commit(pipelinetombstones.deletion(batch))
        match result:
            case outcome.Committed():
                return batch
            case outcome.Conflict(key=key):
                pipeline_id = pipelinerows.pipeline_id_of(key)
                return [t for t in batch if t.id == pipeline_id]
        return []

    async def _on_report(self, message: messages.AgentReport, envelope) -> None:
        if not self.leading or message.epoch > self._lease.epoch:
            self._parts.metrics.count("reports_ignored")
            return
        now_s = self._clock.now()
        bus = envelope.reply_to
        if message.epoch < self._lease.epoch:
            await self._send(bus, messages.LeaderHello(self._leader_info))
            return
        workers = self._scheduler.apply_report(
            message, bus, envelope.incarnation, now_s
        )
        for worker in workers:
            if worker.needs_answer(now_s, GRANT_INTERVAL_S):
                await self._answer_report(worker, now_s)
        if not workers:
            await self._send(
                bus, messages.Instructions(self._leader_info, "", 0, 0, 0, 0)
            )
        await self._round_requested.set()
        if self._scheduler.has_uncommitted or self._withheld:
            await self._commit_requested.set()

    async def _answer_report(self, worker: fleet.Worker, now_s: float) -> None:
        """Grants a further lease and acknowledges ends and results."""
        lease_end_ms = 0
        grants = self._scheduler.grants
        is_listed = worker.state.fresh and worker.state.reachable
        if is_listed and not grants.may_grant(worker.key):
            self._withheld.add(worker.key)
        elif is_listed and (grant_ms := grants.grant_ms(now_s)):
            lease_end_ms = worker.state.clock_ms + grant_ms
            worker.grant_lease(now_s)
            if self._extension_due:
                self._withheld.add(worker.key)
        worker.instructed_s = now_s
        await self._send_instructions(worker, lease_end_ms)

    async def _on_status(self, message: messages.StatusQuery, envelope) -> None:
        if self.leading:
            answer = messages.StatusAnswer(self.status(message.id))
            await self._parts.bus.reply(envelope, answer)

    async def _on_row_stored(
        self, message: messages.RowStored, _envelope
    ) -> None:
        await self.apply_row(message.row)


def _batch_changes(
    batch: pipelineregistry.Batch,
) -> tuple[tuple[store.Put, ...], tuple[str, ...]]:
    puts = [
        store.Put(pipelinerows.progress_key(name), value)
        for name, value in batch.rows.items()
    ]
    puts.extend(
        store.Put(
            f"{pipelinerows.AGENTS_PREFIX}{name}",
            pipelinerows.encode_registration(registration),
        )
        for name, registration in batch.agents.items()
    )
    deletes = tuple(pipelinerows.progress_key(n) for n in batch.removed)
    return tuple(puts), deletes


def worker_leases_s(max_lease_s: float) -> float:
    """Returns how long after a stored renewal leases of workers may last.

    Until the next renewal is due, leases are granted with their full length.

    Args:
        max_lease_s: Longest time that a lease lasts.
    """
    return max_lease_s + RENEW_INTERVAL_S


def takeover_delay_s(cores: float) -> float:
    """Returns how long a candidate waits before it takes a free lease.

    Args:
        cores: Processor cores that its host provides.
    """
    return SMALL_HOST_DELAY_S if cores < MIN_LEADER_CORES else 0.0


def round_delay_s(last_took_s: float) -> float:
    """Returns the delay from a request of a round to the round.

    Args:
        last_took_s: Time that the previous round took.
    """
    return min(
        max(ROUND_WINDOW_S, ROUND_PAUSE_FACTOR * last_took_s), ROUND_INTERVAL_S
    )


def _unix_ms() -> float:
    return time.time() * 1000
