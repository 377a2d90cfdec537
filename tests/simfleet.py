"""Simulated workers that a pipeline leader's scheduler drives, without network.

Agents can be partitioned from the leader, orders can be carried out late, and
workers and leaders can be replaced. What a simulated worker runs is what the
platform would observe.
"""

import attrs

from pomelostair import metrics
from pomelostair import pipeline
from pomelostair import pipelineleader
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinescheduler
from pomelostair import resources
from pomelostair_standins import runner
from tests import pipelines

METRICS = metrics.Metrics()
LEASE_S = 7.9
# Time after a stored renewal at which all leases have lapsed.
RENEWED_LEASES_S = pipelineleader.worker_leases_s(LEASE_S)
# Interval of a worker's heartbeats, which tell its agent the capacity.
BEAT_S = 1.1
# Length of the lease that the agent holds at its worker, within that limit.
HOLD_MS = 5000
# Time after which a crashed worker is back, under another id.
REBIRTH_S = 3.0


@attrs.define
class Host:
    """A simulated worker with its agent.

    Attributes:
        name: Name of the host, and id of its first worker.
        runner: The worker itself.
        partitioned: Whether its agent can't reach the leader.
        delays_starts: Whether start orders get no answer from the worker and
            are carried out late.
        delayed_starts: Start orders to be carried out late.
        lease_limit_ms: Worker clock up to which its lease may extend.
        acknowledged: Number of the last end that the leader acknowledged.
        last_order: Number of the last order that the agent received; none
            before it is missing.
        early_orders: Orders received before an earlier one, by number.
        results: Results of orders that the leader has not applied yet.
        last_result: Sequence number of the last result.
        epoch: Epoch of the leader that the agent last reported to.
        agent_incarnation: Incarnation of the agent's process.
        worker: Id of the worker, which changes after a crash.
        ended: Worker id and incarnation of each earlier incarnation.
        crashed_s: Time of the crash of the worker, None while it is up.
        crashes: Crashes that the agent reports.
        zone: Its availability zone.
        loses_crashes: Whether the agent ends with its worker, and so reports no
            crash.
        cores: Cores that the worker has now.
        known_cores: Cores in the latest heartbeat that the agent received.
        next_beat_s: Time of the next heartbeat.
    """

    name: str
    runner: runner.Runner
    partitioned: bool = False
    delays_starts: bool = False
    delayed_starts: list = attrs.field(factory=list)
    lease_limit_ms: float = 0.0
    acknowledged: int = 0
    last_order: int = 0
    early_orders: dict = attrs.field(factory=dict)
    results: list = attrs.field(factory=list)
    last_result: int = 0
    epoch: int = 0
    agent_incarnation: str = "life"
    worker: str = ""
    ended: list = attrs.field(factory=list)
    crashed_s: float | None = None
    crashes: list = attrs.field(factory=list)
    loses_crashes: bool = False
    zone: str = ""

    def __attrs_post_init__(self):
        self.worker = self.worker or self.name

    @property
    def key(self):
        """Worker id and incarnation."""
        return self.worker, self.runner.born_ms

    def replace_runner(self, worker):
        """Replaces the worker by its next incarnation, which runs nothing."""
        earlier = self.runner
        self.ended.append(self.key)
        self.worker = worker
        self.runner = runner.Runner(earlier.born_ms + 1, earlier.work_ms)
        self.runner.deadly = earlier.deadly
        self.runner.lasting = earlier.lasting
        self.runner.max_listed_ends = earlier.max_listed_ends
        self.lease_limit_ms = 0.0
        self.acknowledged = self.last_order = 0
        self.early_orders.clear()
        self.results.clear()

    cores: int = 0
    known_cores: int = 0
    next_beat_s: float = 0.0


class Fleet:
    """A scheduler with simulated workers and agents; time passes in steps.

    Args:
        names: Ids of the workers.
        cores: Cores of each worker.
        racks: Rack of each worker, by id; r1 of the others.
        options: Further arguments of the scheduler, by name.
    """

    def __init__(
        self, names=("w1", "w2", "w3"), cores=8, racks=None, options=None
    ):
        self.now = 1000.0
        self.racks = racks or {}
        self.options = options or {}
        self.cores = cores
        self.epoch = 0
        self.version = 0
        self.rows = {}
        self.cancelled = set()
        self.stored_progress = {}
        self.agents = {}
        self.hosts = {
            name: Host(name, runner.Runner(1), cores=cores, known_cores=cores)
            for name in names
        }
        self.rebirth_s = REBIRTH_S
        self.deadly = set()
        for host in self.hosts.values():
            host.runner.deadly = self.deadly
        self.starts = []
        # Starts that brought a worker over its capacity.
        self.oversized_starts = []
        self.finished = []
        self.placements_recorded = False
        self.silent = {}
        self.evacuated = ()
        # Whether the store takes no commits.
        self.store_down = False
        # End of all leases that leaders so far granted, as stored.
        self.leases_end_s = self.now
        self.start_leader()

    def start_leader(self, gap_s=0.0):
        """Replaces the leader by a new one, which reads the stored state.

        Args:
            gap_s: Time without a leader, in which the workers go on.
        """
        self.now += gap_s
        for host in self.hosts.values():
            host.runner.advance(gap_s * 1000)
            self._record_ends(host)
        self.epoch += 1
        self.scheduler = pipelinescheduler.PipelineScheduler(
            self.epoch,
            self.version,
            METRICS,
            lambda: self.now * 1000,
            LEASE_S,
            **self.options,
        )
        self.scheduler.set_queues(pipelines.TABLE)
        self.scheduler.set_evacuated_zones(self.evacuated, self.now)
        self.scheduler.expect_agents(
            self.agents,
            min(self.now + LEASE_S, self.leases_end_s),
            (),
            self.placements_recorded,
            self.silent,
        )
        for declared, version in self.rows.values():
            progress = self.stored_progress.get(
                declared.id, pipeline.Progress(placed={})
            )
            self.scheduler.registry.add(declared, version, progress, self.now)
        for name in self.cancelled:
            self.scheduler.cancel(name)

    def submit(self, name, *stages, **fields):
        """Stores a pipeline and adds it to the scheduler."""
        self.version += 1
        declared = pipelines.declare(
            name, *stages, submitted_ms=int(self.now * 1000), **fields
        )
        self.rows[name] = (declared, self.version)
        self.scheduler.registry.add(
            declared, self.version, pipeline.Progress(placed={}), self.now
        )

    def evacuate(self, *zones):
        """Replaces the operator's rows; the leader learns of it at once."""
        self.evacuated = zones
        self.scheduler.set_evacuated_zones(zones, self.now)

    def cancel(self, name):
        """Cancels a pipeline."""
        self.cancelled.add(name)
        self.scheduler.cancel(name)

    def restart_worker(self, name):
        """Restarts a worker under its id; its runs are lost."""
        host = self.hosts[name]
        host.replace_runner(host.worker)

    def restart_agent(self, name):
        """Restarts the agent of a worker; its numbers begin anew."""
        host = self.hosts[name]
        host.agent_incarnation += "+"
        host.last_order = host.last_result = 0
        host.early_orders.clear()
        host.results.clear()

    def resize_worker(self, name, cores):
        """Changes the cores of a worker while it runs."""
        self.hosts[name].cores = cores

    def run_for(self, seconds, step_s=0.1):
        """Advances the time in steps."""
        for _ in range(round(seconds / step_s)):
            self.step(step_s)

    def step(self, step_s=0.1):
        """Runs one step: reports, a scheduling round, orders and a commit."""
        self.now += step_s
        for host in self.hosts.values():
            self._run_delayed_starts(host)
            host.runner.advance(step_s * 1000)
            self._apply_crash(host)
            self._record_ends(host)
            if self.now >= host.next_beat_s:
                host.next_beat_s = self.now + BEAT_S
                host.known_cores = host.cores
            if not host.partitioned:
                self._report(host)
        self.scheduler.run_round(self.now)
        for worker in list(self.scheduler.workers.values()):
            host = self.host_of(worker.id)
            orders = self.scheduler.orders_to_send(worker, self.now)
            if (
                not host.partitioned
                and not host.runner.crashed
                and (worker.id, worker.incarnation) == host.key
            ):
                self._deliver(host, worker.confirmed_order, orders)
        self._commit()

    def running(self):
        """Returns the running tasks as (task, worker) pairs."""
        return [
            (run.task, host.name)
            for host in self.hosts.values()
            if not host.runner.crashed
            for run in host.runner.runs.values()
        ]

    def host_of(self, worker):
        """Returns the host of a worker."""
        return self.hosts[worker.partition("+")[0]]

    def phase(self, name):
        """Returns the phase of a pipeline, as callers see it."""
        return self.scheduler.registry.phase(name)

    def _fence(self, host):
        return (self.epoch << 31) | host.runner.born_ms

    def _apply_crash(self, host):
        """Lets a crashed worker return, under another id, after a while."""
        if not host.runner.crashed:
            return
        if host.crashed_s is None:
            host.crashed_s = self.now
        if self.now - host.crashed_s >= self.rebirth_s:
            host.crashed_s = None
            host.crashes.extend(self._crash_of(host))
            host.replace_runner(f"{host.name}+{host.runner.born_ms}")

    def _crash_of(self, host):
        """Returns what the agent reports of a crash, if anything."""
        started_ms = {
            (task, number): at_ms for task, number, at_ms in host.runner.started
        }
        recent = tuple(
            (
                run.task,
                run.number,
                int(host.runner.clock_ms - started_ms[run.task, run.number]),
            )
            for run in host.runner.runs.values()
            if host.runner.clock_ms - started_ms[run.task, run.number]
            < messages.START_CRASH_S * 1000
        )
        if not recent or host.loses_crashes:
            return ()
        return (
            messages.WorkerCrash(*host.key, recent, host.crashed_s is None),
        )

    def _record_ends(self, host):
        for ended in host.runner.ended:
            end = (ended.task, ended.run, ended.how)
            if end not in self.finished:
                self.finished.append(end)

    def _report(self, host):
        """Renews the worker's lease and reports its state to the leader."""
        worker_runner = host.runner
        results, received = tuple(host.results), host.last_order
        if host.epoch != self.epoch:
            host.epoch = self.epoch
            host.last_order = received = 0
            host.early_orders.clear()
            host.results.clear()
            results = ()
        crashed = worker_runner.crashed
        lapsed = crashed and (
            self.now - host.crashed_s > (HOLD_MS / 1000 + 0.1)
        )
        if not crashed:
            until_ms = min(
                worker_runner.clock_ms + HOLD_MS, host.lease_limit_ms
            )
            assert (
                worker_runner.hold(
                    self._fence(host), host.acknowledged, until_ms or None
                )
                is None
            )
        state = pipelines.worker_state(
            host.worker,
            worker_runner.born_ms,
            host.known_cores,
            rack=self.racks.get(host.name, "r1"),
            clock_ms=int(worker_runner.clock_ms),
            running=tuple(worker_runner.running_rows()),
            ended=tuple(
                (n, task, run, pipeline.End(how), saved)
                for n, task, run, how, saved in worker_runner.ended_rows()
            ),
            more_ended=len(worker_runner.ended) > worker_runner.max_listed_ends,
            results=results,
            received=received,
            fresh=not crashed,
            zone=host.zone,
            reachable=not crashed,
            lapsed=lapsed,
            silent=lapsed,
        )
        report = messages.AgentReport(
            f"agent-{host.name}",
            self.epoch,
            int(self.now * 1000),
            True,
            (host.key,),
            (state,),
            tuple(host.ended),
            {host.worker: f"{host.name}:1"},
            (*host.crashes, *(self._crash_of(host) if state.lapsed else ())),
        )
        for worker in self.scheduler.apply_report(
            report, "bus", host.agent_incarnation, self.now
        ):
            if self.scheduler.grants.may_grant(worker.key):
                worker.grant_lease(self.now)
                grant_ms = self.scheduler.grants.grant_ms(self.now)
                host.lease_limit_ms = max(
                    host.lease_limit_ms, worker_runner.clock_ms + grant_ms
                )
            host.acknowledged = max(host.acknowledged, worker.acknowledged_end)
            host.results = [
                r for r in host.results if r.sequence > worker.applied_result
            ]

    def _deliver(self, host, confirmed, orders):
        """Executes the orders up to the first one that is missing."""
        host.last_order = max(host.last_order, confirmed)
        for order in orders:
            host.early_orders[order.number] = order
        while order := host.early_orders.pop(host.last_order + 1, None):
            host.last_order = order.number
            self._execute(host, order)

    def _execute(self, host, order):
        worker_runner = host.runner
        outcome, reason = messages.DONE, ""
        fence = self._fence(host)
        match order.kind:
            case messages.START if host.delays_starts:
                until_ms = min(
                    worker_runner.clock_ms + HOLD_MS, host.lease_limit_ms
                )
                host.delayed_starts.append(
                    (self.now + 3.0, worker_runner, order, until_ms, fence)
                )
                worker_runner.stop(order.task, order.attempt, fence)
                outcome = messages.FENCED_OFF
            case messages.START if not self._known_capacity(host).covers(
                order.capacity
            ):
                outcome, reason = messages.REFUSED, "shrunk"
            case messages.START:
                until_ms = min(
                    worker_runner.clock_ms + HOLD_MS, host.lease_limit_ms
                )
                reason = worker_runner.start(
                    order.task, order.attempt, until_ms, fence
                )
                outcome = messages.REFUSED if reason else messages.DONE
                self.starts.append((order.task, host.name))
                if not reason:
                    self._check_start(host, order)
            case messages.STOP:
                worker_runner.stop(order.task, order.attempt, fence)
            case messages.PACE:
                worker_runner.pace(
                    order.task, order.attempt, order.percent, fence
                )
        host.last_result += 1
        host.results.append(
            messages.OrderResult(
                host.last_result, order.number, outcome, reason or ""
            )
        )

    def _known_capacity(self, host):
        """Returns the capacity that the agent of a worker knows."""
        return pipelines.worker_state(cores=host.known_cores).capacity

    def _check_start(self, host, order):
        """Records a start that brings a worker over its capacity.

        The capacity is that of the latest heartbeat, which is stricter than the
        platform's rule: it also counts an earlier one for `contactMs`.
        """
        used = capacity_used(self, host.name).millicores
        if used > host.known_cores * 1000:
            self.oversized_starts.append((order, host.name, used, self.now))

    def _run_delayed_starts(self, host):
        due = [start for start in host.delayed_starts if start[0] <= self.now]
        host.delayed_starts = [
            start for start in host.delayed_starts if start[0] > self.now
        ]
        for _, worker_runner, order, until_ms, fence in due:
            if worker_runner is host.runner and not worker_runner.crashed:
                worker_runner.start(order.task, order.attempt, until_ms, fence)

    def _commit(self):
        if self.store_down:
            return
        self.scheduler.record_commit(self.now)
        self.placements_recorded = self.scheduler.placements_recorded
        self.silent = self.scheduler.next_silent(self.now)
        self.leases_end_s = self.now + RENEWED_LEASES_S
        self.scheduler.grants.confirm(self.leases_end_s)
        batch = self.scheduler.next_batch()
        self.stored_progress.update(batch.progress)
        self.agents.update(batch.agents)
        self.scheduler.confirm(batch)


def capacity_used(fleet, name):
    """Returns the demand of the tasks on a worker, without filler tasks."""
    used = resources.Resources()
    for run in fleet.hosts[name].runner.runs.values():
        pipeline_id, _, key = run.task.partition(".")
        stage = fleet.rows[pipeline_id][0].stages[int(key.split(".")[1])]
        if not stage.filler:
            used = used.plus(stage.demand)
    return used
