"""Simulated fleet with faults of workers, agents, links, store and leader.

The agents follow `pipelineagent`: they report at intervals, extend leases
within the leader's grants, execute orders in sequence and repeat calls that a
worker does not answer.
"""

import hashlib

import attrs

from pomelostair import fleet as fleet_module
from pomelostair import pipeline
from pomelostair import pipelineagent
from pomelostair import pipelineleader
from pomelostair import pipelinemessages as messages
from pomelostair import queues
from pomelostair import reportschedule
from pomelostair_standins import runner as runner_module
from tests import pipelines
from tests import simfleet

# Duration of the leader's lease without a commit.
LEADER_LEASE_S = 1.8
# Interval of the reports about a worker that does not answer.
SILENT_REPORT_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 1.0
# Time after which a gang member ends if others of its gang do not run.
ALONE_AFTER_S = 1.0
STEP_S = 0.1
# Age of a restarted agent from which it reports every worker on its host.
COMPLETE_AFTER_S = max(
    pipelineagent.DISCOVERY_S,
    simfleet.HOLD_MS / 1000 * (1 + pipelineagent.CLOCK_DRIFT)
    + pipelineagent.LAPSE_MARGIN_S,
)
# How much a filler image slows a serving image, see `contention`.
PRESSURES = {("s1", "f1"): 2.0, ("s1", "f2"): 12.0, ("s2", "f1"): 5.0}
# A queue whose starts need the approval of an advisor.
ADVISED = attrs.evolve(
    pipelines.QUEUE,
    name="advised",
    path_prefix="/advised/",
    advice=queues.AdviceTerms(100, 5, 5000),
)
TABLE = queues.QueueTable(1, (pipelines.QUEUE, pipelines.URGENT, ADVISED))


def _first_runner():
    return runner_module.Runner(1)


@attrs.define(eq=False)
class Agent:
    """The agent of one or several simulated workers.

    Attributes:
        name: Name of the agent.
        life: Number of its process.
        started_s: Start of that process; the first one began long ago.
        down: Whether it does not run.
        lost: Whether it is lost with its workers.
        partitioned: Whether it can't reach the leader, nor be reached.
        reports_lost: Whether its reports get lost.
        orders_lost: Whether what the leader sends gets lost.
        report_delay_s: Delay of its reports.
        epoch: Epoch of the leader that it follows, 0 if it knows none.
        gone_since_s: Ended incarnations that are reported, with their time.
        reported_s: Time of its latest report.
        sequence: Number of that report.
        report_sent_s: Times of the reports by their numbers.
    """

    name: str
    life: int = 1
    started_s: float = 1.0
    down: bool = False
    lost: bool = False
    partitioned: bool = False
    reports_lost: bool = False
    orders_lost: bool = False
    report_delay_s: float = 0.0
    epoch: int = 0
    gone_since_s: dict = attrs.field(factory=dict)
    reported_s: float = 0.0
    sequence: int = 0
    report_sent_s: dict = attrs.field(factory=dict)

    @property
    def receives(self):
        """Whether it receives what the leader sends."""
        return not (
            self.down or self.lost or self.partitioned or self.orders_lost
        )

    @property
    def incarnation(self):
        """Incarnation of its process."""
        return f"life-{self.life}"


@attrs.define(eq=False)
class Host:
    """A simulated worker, what its agent knows of it, and active faults.

    Attributes:
        name: Name of the place where the worker runs, the id of its first one.
        cores: Cores of the worker now.
        agent: Its agent.
        worker: Id of the worker.
        runner: The worker itself.
        labels: Labels of the worker.
        known: Whether the agent knows the worker.
        heard: Whether the agent has had a heartbeat of it.
        mute: Whether its heartbeats get lost.
        down: Whether the worker does not run.
        unreachable: Whether the worker does not answer its agent.
        delays_starts: Whether start orders get no answer from the worker and
            are carried out late.
        busy: Whether the worker refuses starts for want of room.
        refusal: Reason for which its agent refuses starts, empty for none.
        failing: Whether every attempt fails soon after its start.
        draining: Whether the worker is about to deregister.
        delayed_starts: Start orders to be carried out late.
        lease_limit_ms: Worker clock up to which its lease may extend.
        requested_end_ms: Latest lease end that the agent has requested.
        acknowledged: Number of the last end that the leader acknowledged.
        last_order: Number of the last order that the agent received.
        early_orders: Orders received before an earlier one, by number.
        unanswered: Orders that the worker has not answered, with their epochs.
        results: Results of orders that the leader has not applied yet.
        last_result: Sequence number of the last result.
        state: Latest list of the worker that the agent has read.
        listed_s: Time at which it was read.
        predecessors: Ended incarnations, until their successor is held.
        schedule: Decides when the worker is reported.
        reported_s: Time of the latest report that it does not answer.
    """

    name: str
    cores: int
    agent: Agent
    worker: str = ""
    runner: runner_module.Runner = attrs.field(factory=_first_runner)
    labels: tuple[str, ...] = ("a", "r1")
    known: bool = True
    heard: bool = True
    mute: bool = False
    down: bool = False
    unreachable: bool = False
    delays_starts: bool = False
    busy: bool = False
    refusal: str = ""
    failing: bool = False
    draining: bool = False
    delayed_starts: list = attrs.field(factory=list)
    lease_limit_ms: float = 0.0
    requested_end_ms: float = 0.0
    acknowledged: int = 0
    last_order: int = 0
    early_orders: dict = attrs.field(factory=dict)
    unanswered: list = attrs.field(factory=list)
    results: list = attrs.field(factory=list)
    last_result: int = 0
    state: messages.WorkerState | None = None
    listed_s: float = 0.0
    predecessors: list = attrs.field(factory=list)
    schedule: reportschedule.ReportSchedule = attrs.field(
        factory=reportschedule.ReportSchedule
    )
    reported_s: float = 0.0

    def __attrs_post_init__(self):
        """Names the first worker after its place."""
        self.worker = self.worker or self.name

    @property
    def key(self):
        """Worker id and incarnation."""
        return self.worker, self.runner.born_ms

    @property
    def answers(self):
        """Whether the worker answers its agent."""
        return not (self.down or self.unreachable)

    @property
    def usable(self):
        """Whether the worker could be given attempts."""
        return self.answers and not self.agent.down and not self.draining


class FaultFleet(simfleet.Fleet):
    """A scheduler with simulated workers and agents that have faults.

    Args:
        names: Ids of the workers.
        cores: Cores of each worker.
        workers_per_agent: Workers of each agent; the last may have fewer.

    Attributes:
        leaderless: Whether no leader runs.
        store_down: Whether commits fail.
        advisor_down: Whether the advisor does not answer.
        commit_steps: Steps that a commit takes.
        lists_at_once: Whether the first reports to a leader have the lists of
            the workers, as those of agents that found it in the store may; the
            others answer its announcement before they ask the workers.
        table: Configuration of the queues.
        ended_s: Time at which each task ended its last run.
        started: Time, task and attempt of each start.
        crashes: Reports whose handling failed.
    """

    def __init__(self, names=("w1", "w2", "w3"), cores=8, workers_per_agent=1):
        self.leaderless = False
        self.store_down = False
        self.advisor_down = False
        self.commit_steps = 0
        self.lists_at_once = False
        self.table = TABLE
        self.last_commit_s = 1000.0
        self.ended_s = {}
        self.started = []
        self.crashes = []
        self._committing = None
        self._withheld = set()
        self._last_begun_s = 0.0
        self._in_flight = []
        self._previously_running = set()
        self._incomplete_since_s = {}
        super().__init__(names, cores)
        self.hosts = {}
        agent = None
        for index, name in enumerate(names):
            if index % workers_per_agent == 0:
                agent = Agent(f"agent-{name}")
            labels = ("r1", "ab"[index % 2])
            self.hosts[name] = Host(name, cores, agent, labels=labels)

    @property
    def leads(self):
        """Whether a leader runs and holds its lease."""
        return (
            not self.leaderless
            and self.now - self.last_commit_s < LEADER_LEASE_S
        )

    def stage_of(self, task):
        """Returns the stage of a task."""
        pipeline_id, _, key = task.partition(".")
        return self.rows[pipeline_id][0].stages[int(key.split(".")[1])]

    def lose_leader(self, stored=True):
        """Ends the leader; a commit under way is stored or not."""
        if self.leaderless:
            return
        commit = self._committing
        if commit is None and not self.store_down:
            self._last_begun_s = self.now
            commit = self._next_commit()
        self._committing = None
        if commit is not None and stored and not self.store_down:
            self._store(*commit[:2])
        self.leaderless = True

    def start_leader(self, gap_s=0.0):
        """Starts a leader, which reads the stored state."""
        self._committing = None
        self._withheld = set()
        self.leaderless = False
        self.last_commit_s = self._last_begun_s = self.now
        super().start_leader(gap_s)
        self.scheduler.set_queues(self.table)

    def set_table(self, table):
        """Applies a configuration of the queues."""
        self.table = table
        self.scheduler.set_queues(table)

    def stop_worker(self, name):
        """Ends a worker and its runs."""
        host = self.hosts[name]
        host.down = True
        host.runner.runs.clear()

    def return_worker(self, name, worker_id=None):
        """Starts a worker that was stopped, under its id or another one."""
        host = self.hosts[name]
        ended = [*host.predecessors, host.key]
        host.predecessors = []
        if host.known and worker_id in (None, host.worker):
            host.predecessors = ended
        elif host.known:
            host.agent.gone_since_s.update(dict.fromkeys(ended, self.now))
        host.worker = worker_id or host.worker
        host.runner = runner_module.Runner(host.runner.born_ms + 1)
        host.down = host.draining = False
        self._forget_worker(host)
        host.known = host.heard = True

    def deregister_worker(self, name):
        """Ends a worker that tells its agent."""
        host = self.hosts[name]
        self.stop_worker(name)
        for key in (*host.predecessors, host.key):
            host.agent.gone_since_s[key] = self.now
        host.predecessors = []
        host.known = host.draining = False
        self._forget_worker(host)
        host.agent.reported_s = 0.0

    def stop_agent(self, agent):
        """Ends the process of an agent."""
        agent.down = True

    def return_agent(self, agent):
        """Starts an agent process, which knows what the store tells it."""
        agent.down = False
        agent.life += 1
        agent.started_s = self.now
        agent.gone_since_s.clear()
        agent.epoch = agent.sequence = 0
        agent.report_sent_s.clear()
        stored = self.agents.get(agent.name)
        for host in self.hosts_of(agent):
            host.predecessors = []
            host.last_result = 0
            self._forget_worker(host)
            host.heard = False
            host.known = stored is not None and any(
                known.key == host.key for known in stored.lives
            )

    def lose_agent(self, agent):
        """Loses an agent with its workers for good."""
        agent.lost = agent.down = True
        for host in self.hosts_of(agent):
            self.stop_worker(host.name)

    def hosts_of(self, agent):
        """Returns the workers of an agent."""
        return [h for h in self.hosts.values() if h.agent is agent]

    def step(self, step_s=STEP_S):
        """Runs one step: reports, a scheduling round, orders and a commit."""
        self.now += step_s
        for host in self.hosts.values():
            if not host.down:
                self._run_delayed_starts(host)
                host.runner.advance(step_s * 1000)
                self._record_ends(host)
        self._end_incomplete_gangs()
        for agent in {
            h.agent.name: h.agent for h in self.hosts.values()
        }.values():
            if not agent.down:
                self._run_agent(agent)
        due = [row for row in self._in_flight if row[0] <= self.now]
        self._in_flight = [r for r in self._in_flight if r[0] > self.now]
        for _, incarnation, report in due:
            self._receive(incarnation, report)
        if self.leads:
            self.scheduler.run_round(self.now)
            self._send_orders()
            self._answer_requests()
        if not self.leaderless:
            self._commit()
        running = {task for task, _ in self.running()}
        for task in self._previously_running - running:
            self.ended_s[task] = self.now
        self._previously_running = running

    def load_of(self, host, run):
        """Returns the load that a worker reports for a run.

        The latency of a serving task grows with the fillers beside it.
        """
        stage = self.stage_of(run.task)
        if not stage.latency_target_ms:
            return stage.demand.millicores * run.pace / 100
        share = 0.0
        for other in host.runner.runs.values():
            filler = self.stage_of(other.task)
            if filler.filler:
                share += (
                    PRESSURES.get((stage.image, filler.image), 0.0)
                    * filler.demand.millicores
                    * other.pace
                    / 100
                    / (host.cores * 1000)
                )
        utilization = min(0.95, 0.45 * (1 + share))
        return 0.22 * stage.latency_target_ms / (1 - utilization)

    def _forget_worker(self, host):
        host.lease_limit_ms = host.requested_end_ms = 0.0
        host.acknowledged = host.last_order = 0
        host.results.clear()
        host.early_orders.clear()
        host.unanswered.clear()
        host.delayed_starts.clear()
        host.state = None
        host.schedule = reportschedule.ReportSchedule()

    def _end_incomplete_gangs(self):
        members = {}
        for host in self.hosts.values():
            for run in host.runner.runs.values():
                if self.stage_of(run.task).gang:
                    name = run.task.rpartition(".")[0]
                    members.setdefault((name, run.number), []).append(
                        (host, run)
                    )
        since_s = {}
        for gang, rows in members.items():
            if len(rows) < self.stage_of(rows[0][1].task).count:
                since_s[gang] = self._incomplete_since_s.get(gang, self.now)
                if self.now - since_s[gang] > ALONE_AFTER_S:
                    for host, run in rows:
                        host.runner._end(run, "alone")
                        self._record_ends(host)
        self._incomplete_since_s = since_s

    def _run_agent(self, agent):
        hosts = self.hosts_of(agent)
        if self.leads and agent.receives and agent.epoch != self.epoch:
            agent.epoch = self.epoch
            for host in hosts:
                host.last_order = 0
                host.early_orders.clear()
                host.results.clear()
                host.schedule.restart()
            if not self.lists_at_once:
                self._send_report(agent, ())
                return
        age_s = self.now - agent.started_s
        for key, since_s in list(agent.gone_since_s.items()):
            if self.now - since_s > pipelineagent.GONE_REPORT_S:
                del agent.gone_since_s[key]
        for host in hosts:
            self._listen(host, age_s)
            if not agent.epoch or not host.known:
                continue
            if host.answers:
                self._hold(host)
            elif host.state is not None:
                host.state = attrs.evolve(
                    host.state, fresh=False, reachable=False
                )
                if self.now - host.reported_s >= SILENT_REPORT_INTERVAL_S:
                    host.reported_s = self.now
                    self._send_report(agent, (self._silent_state(host),))
        if (
            agent.epoch
            and self.now - agent.reported_s >= pipelineagent.REPORT_INTERVAL_S
        ):
            self._send_report(agent, ())

    def _listen(self, host, age_s):
        """Updates what an agent of a certain age knows of a worker."""
        agent = host.agent
        host.unanswered = [
            row for row in host.unanswered if row[1] == agent.epoch
        ]
        if (
            host.answers
            and not host.mute
            and age_s > HEARTBEAT_INTERVAL_S
            and host.key not in agent.gone_since_s
        ):
            host.known = host.heard = True
        if (
            age_s > pipelineagent.DISCOVERY_S
            and not host.heard
            and host.state is None
        ):
            host.known = False

    def _hold(self, host):
        worker_runner = host.runner
        for order, epoch in host.unanswered:
            worker_runner.stop(order.task, order.attempt, self._fence(host))
            outcome = messages.DONE
            if order.kind == messages.START:
                outcome = messages.FENCED_OFF
            self._record_result(host, order, outcome, "", epoch)
        host.unanswered.clear()
        results = tuple(host.results)
        until_ms = min(
            worker_runner.clock_ms + simfleet.HOLD_MS, host.lease_limit_ms
        )
        host.requested_end_ms = max(host.requested_end_ms, until_ms)
        refused = worker_runner.hold(
            self._fence(host), host.acknowledged, until_ms or None
        )
        assert refused is None, refused
        host.agent.gone_since_s.update(
            dict.fromkeys(host.predecessors, self.now)
        )
        host.predecessors = []
        running = tuple(
            (*row[:4], self.load_of(host, worker_runner.runs[row[0]]))
            for row in worker_runner.running_rows()
        )
        host.listed_s = self.now
        changed = host.state is not None and (
            host.state.draining != host.draining
            or host.state.announced != host.heard
        )
        host.state = pipelines.worker_state(
            host.worker,
            worker_runner.born_ms,
            host.cores,
            clock_ms=int(worker_runner.clock_ms),
            running=running,
            ended=tuple(
                (n, task, run, pipeline.End(how), saved)
                for n, task, run, how, saved in worker_runner.ended_rows()
            ),
            more_ended=len(worker_runner.ended) > worker_runner.max_listed_ends,
            results=results,
            received=host.last_order,
            draining=host.draining,
            remaining_ms=2000 if host.draining else 0,
            labels=host.labels,
            announced=host.heard,
        )
        if changed or host.schedule.is_due(
            host.state, results, host.acknowledged, self.now
        ):
            host.schedule.record(host.state, results, self.now)
            self._send_report(host.agent, (host.state,))

    def _silent_state(self, host):
        elapsed_ms = (self.now - host.listed_s) * 1000
        least_ms = host.state.clock_ms + elapsed_ms * (
            1 - pipelineagent.CLOCK_DRIFT
        )
        return attrs.evolve(
            host.state,
            results=(),
            received=host.last_order,
            lapsed=0 < host.requested_end_ms < least_ms,
        )

    def _send_report(self, agent, states):
        agent.reported_s = self.now
        agent.sequence += 1
        agent.report_sent_s[agent.sequence] = self.now
        if agent.partitioned or agent.reports_lost:
            return
        listed = [
            host
            for host in self.hosts_of(agent)
            if host.known and (host.heard or host.state is not None)
        ]
        report = messages.AgentReport(
            agent.name,
            agent.epoch,
            agent.sequence,
            agent.life == 1 or self.now - agent.started_s > COMPLETE_AFTER_S,
            tuple(host.key for host in listed),
            states,
            tuple(agent.gone_since_s),
            {host.worker: f"{host.name}:1" for host in listed},
            started_ms=int(agent.started_s * 1000),
        )
        self._in_flight.append(
            (self.now + agent.report_delay_s, agent.incarnation, report)
        )

    def _receive(self, incarnation, report):
        if not self.leads or report.epoch != self.epoch:
            return
        try:
            workers = self.scheduler.apply_report(
                report, "bus", incarnation, self.now
            )
        except LookupError as error:
            # The bus drops a message whose handler fails.
            self.crashes.append(f"{type(error).__name__} in a report")
            return
        for worker in workers:
            if worker.needs_answer(self.now, pipelineleader.GRANT_INTERVAL_S):
                self._answer(worker)

    def _answer(self, worker):
        limit_ms = 0.0
        if not self.scheduler.grants.may_grant(worker.key):
            self._withheld.add(worker.key)
        elif worker.state.fresh and worker.state.reachable:
            limit_ms = worker.state.clock_ms + self.scheduler.grants.grant_ms(
                self.now
            )
            worker.grant_lease(self.now)
        worker.instructed_s = self.now
        self._instruct(worker, (), limit_ms)

    def _send_orders(self):
        for worker in list(self.scheduler.workers.values()):
            if worker.unconfirmed_orders:
                orders = self.scheduler.orders_to_send(worker, self.now)
                if orders:
                    self._instruct(worker, orders)

    def _answer_requests(self):
        request = self.scheduler.advice.next_request()
        if request is not None and not self.advisor_down:
            tickets = {
                worker: f"ticket-{worker}"
                for worker, _ in request.workers
                if approves(request.step, worker)
            }
            self.scheduler.advice.apply_answer(request, tickets, self.now)

    def _instruct(self, worker, orders, limit_ms=0.0):
        """Delivers instructions to the agent of a worker."""
        key = (worker.id, worker.incarnation)
        host = next((h for h in self.hosts.values() if h.key == key), None)
        if host is None or not (
            host.known
            and host.agent.receives
            and host.agent.epoch == self.epoch
        ):
            return
        host.schedule.interval_s = self.scheduler.report_interval_s(worker)
        host.lease_limit_ms = max(host.lease_limit_ms, limit_ms)
        host.acknowledged = max(host.acknowledged, worker.acknowledged_end)
        host.results = [
            r for r in host.results if r.sequence > worker.applied_result
        ]
        host.last_order = max(host.last_order, worker.confirmed_order)
        for order in orders:
            host.early_orders[order.number] = order
        ready = []
        while order := host.early_orders.pop(host.last_order + 1, None):
            host.last_order = order.number
            ready.append(order)
        for number in [n for n in host.early_orders if n <= host.last_order]:
            del host.early_orders[number]
        stopped = {
            (order.task, order.attempt)
            for order in ready
            if order.kind == messages.STOP
        }
        number = self.scheduler.last_report(worker.agent)
        report_sent_s = host.agent.report_sent_s.get(number, 0.0)
        is_outdated = self.now - report_sent_s > pipelineagent.START_TTL_S
        for order in ready:
            if (is_outdated and order.kind == messages.START) or (
                order.kind != messages.STOP
                and (order.task, order.attempt) in stopped
            ):
                self._record_result(
                    host, order, messages.REFUSED, "outdated", self.epoch
                )
            else:
                self._execute(host, order)

    def _execute(self, host, order):
        outcome, reason = messages.DONE, ""
        if order.kind == messages.START:
            outcome, reason = self._start(host, order)
        elif not host.answers:
            outcome = messages.REFUSED
            if order.kind == messages.STOP:
                host.unanswered.append((order, self.epoch))
                return
        elif order.kind == messages.STOP:
            host.runner.stop(order.task, order.attempt, self._fence(host))
        else:
            reason = host.runner.pace(
                order.task, order.attempt, order.percent, self._fence(host)
            )
            outcome = messages.REFUSED if reason else messages.DONE
        if outcome is not None:
            self._record_result(host, order, outcome, reason or "", self.epoch)

    def _start(self, host, order):
        """Returns the outcome of a start, None while there is no answer."""
        worker_runner = host.runner
        until_ms = min(
            worker_runner.clock_ms + simfleet.HOLD_MS, host.lease_limit_ms
        )
        if host.draining:
            return messages.REFUSED, "draining"
        if not host.heard:
            return messages.REFUSED, "no-heartbeat"
        if host.refusal:
            return messages.REFUSED, host.refusal
        if until_ms - worker_runner.clock_ms < pipelineagent.MIN_START_LEASE_MS:
            return messages.REFUSED, "late"
        host.requested_end_ms = max(host.requested_end_ms, until_ms)
        fence = self._fence(host)
        if not host.answers:
            host.unanswered.append((order, self.epoch))
            return None, ""
        if host.delays_starts:
            host.delayed_starts.append(
                (self.now + 3.0, worker_runner, order, until_ms, fence)
            )
            worker_runner.stop(order.task, order.attempt, fence)
            return messages.FENCED_OFF, ""
        if host.busy:
            return messages.REFUSED, "busy"
        stage = self.stage_of(order.task)
        worker_runner.failing = host.failing
        worker_runner.lasting = stage.lasting and not host.failing
        worker_runner.work_ms = 300 if host.failing else stage.estimate_ms
        reason = worker_runner.start(order.task, order.attempt, until_ms, fence)
        if reason is None:
            self.started.append((self.now, order.task, order.attempt))
        return (messages.REFUSED if reason else messages.DONE), reason

    def _record_result(self, host, order, outcome, reason, epoch):
        if host.agent.epoch != epoch:
            return
        host.last_result += 1
        host.results.append(
            messages.OrderResult(
                host.last_result, order.number, outcome, reason
            )
        )

    def _fence(self, host):
        return (host.agent.epoch << 31) | host.runner.born_ms

    def _store(self, batch, handover):
        self.stored_progress.update(batch.progress)
        self.agents.update(batch.agents)
        if handover is not None:
            self.placements_recorded, self.silent = handover
            self.leases_end_s = self._last_begun_s + simfleet.RENEWED_LEASES_S

    def _commit(self):
        if self._committing is None:
            is_due = self.now - self._last_begun_s >= (
                pipelineleader.RENEW_INTERVAL_S
            )
            if not (is_due or self.scheduler.has_uncommitted or self._withheld):
                return
            self._last_begun_s = self.now
            self._committing = (
                *self._next_commit(),
                self.now + self.commit_steps * STEP_S,
            )
        batch, handover, due_s = self._committing
        if self.now < due_s:
            return
        self._committing = None
        if self.store_down:
            self.scheduler.registry.requeue(batch)
            self.scheduler.grants.cancel()
            return
        self._store(batch, handover)
        self.last_commit_s = self._last_begun_s
        if handover is not None:
            self.scheduler.grants.confirm(self.leases_end_s)
            self.scheduler.record_commit(self.last_commit_s)
            withheld, self._withheld = self._withheld, set()
            for key in sorted(withheld):
                worker = self.scheduler.workers.get(key)
                if worker is not None:
                    self._answer(worker)
        for worker in self.scheduler.confirm(batch):
            orders = ()
            if worker.unconfirmed_orders:
                orders = self.scheduler.orders_to_send(worker, self.now)
            self._instruct(worker, orders)

    def _next_commit(self):
        batch = self.scheduler.next_batch()
        handover = None
        if self.leads:
            silent = self.scheduler.next_silent(self.now)
            handover = self.scheduler.placements_recorded, silent
        return batch, handover


def approves(step, worker):
    """Returns whether the advisor approves a worker for a step."""
    digest = hashlib.blake2b(f"{step} {worker}".encode()).digest()
    return digest[0] % 4 != 0


def free_slots(fleet, stage, key, lasting_only=False):
    """Returns how many further tasks of a stage the usable workers can run.

    Args:
        fleet: The simulated fleet.
        stage: The stage.
        key: Key of its tasks without the index, "PIPELINE.OCCURRENCE.STAGE".
        lasting_only: Whether only lasting tasks count as taking room.
    """
    advised = fleet.rows[key.split(".")[0]][0].queue == ADVISED.name
    slots = 0
    for host in fleet.hosts.values():
        if (
            not host.usable
            or (stage.label and stage.label not in host.labels)
            or (advised and not approves(key, host.worker))
        ):
            continue
        millicores, memory_mb, siblings = host.cores * 1000, 128_000, 0
        for run in host.runner.runs.values():
            other = fleet.stage_of(run.task)
            if lasting_only and not other.lasting:
                continue
            memory_mb -= other.demand.memory_mb
            if stage.filler or not other.filler:
                millicores -= other.demand.millicores
            siblings += run.task.rpartition(".")[0] == key
        count = min(
            millicores // stage.demand.millicores,
            memory_mb // stage.demand.memory_mb,
        )
        if stage.most_per_worker:
            count = min(count, stage.most_per_worker - siblings)
        slots += max(0, count)
    return slots


def stuck_attempts(fleet):
    """Returns the attempts that wait for an answer, by key and state."""
    return {
        (key, placement.state.value, worker.id)
        for worker in fleet.scheduler.workers.values()
        for key, placement in worker.placements.items()
        if placement.state is not fleet_module.AttemptState.RUNNING
    }
