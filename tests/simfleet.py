"""A leader's scheduler and simulated workers, joined without a network.

Orders reach a worker late, twice, or with their answers lost; reports may be
old. What workers run is what the platform would see.
"""

import attrs

from pomelostair import metrics
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinescheduler
from pomelostair import resources
from pomelostair_standins import runner
from tests import pipelines

METRICS = metrics.Metrics()
LEASE_S = 7.9
GRANT_MS = 7500
HOLD_MS = 5000


@attrs.define
class Host:
    """A worker with its agent.

    Attributes:
        name: Id of the worker.
        runner: The worker.
        cut: Whether its agent does not reach the leader.
        unanswered: Whether starts get no answer and are carried out late.
        late: Starts that are carried out later.
        granted_ms: Clock up to which its lease may extend.
    """

    name: str
    runner: runner.Runner
    cut: bool = False
    unanswered: bool = False
    late: list = attrs.field(factory=list)
    granted_ms: float = 0.0
    noted: int = 0
    received: int = 0
    results: list = attrs.field(factory=list)
    next_result: int = 0
    epoch: int = 0


class Fleet:
    """A scheduler over workers; time passes in steps.

    Args:
        names: Ids of the workers.
        cores: Cores of each.
    """

    def __init__(self, names=("w1", "w2", "w3"), cores=8):
        self.now = 1000.0
        self.cores = cores
        self.epoch = 0
        self.version = 0
        self.rows = {}
        self.cancelled = set()
        self.kept = {}
        self.agents = {}
        self.hosts = {name: Host(name, runner.Runner(1)) for name in names}
        self.finished = []
        self.lead()

    def lead(self, gap_s=0.0):
        """A new leader takes over from what is stored."""
        self.now += gap_s
        self.epoch += 1
        self.scheduler = pipelinescheduler.PipelineScheduler(
            self.epoch,
            self.version,
            METRICS,
            lambda: self.now * 1000,
            LEASE_S,
        )
        self.scheduler.set_queues(pipelines.TABLE)
        self.scheduler.expect_agents(self.agents, self.now + LEASE_S)
        for declared, version in self.rows.values():
            progress = self.kept.get(declared.id, pipeline.Progress())
            self.scheduler.registry.add(declared, version, progress, self.now)
        for name in self.cancelled:
            self.scheduler.cancel(name)

    def submit(self, name, *stages, **fields):
        """Accepts a pipeline."""
        self.version += 1
        declared = pipelines.declare(
            name, *stages, submitted_ms=int(self.now * 1000), **fields
        )
        self.rows[name] = (declared, self.version)
        self.scheduler.registry.add(
            declared, self.version, pipeline.Progress(), self.now
        )

    def cancel(self, name):
        """Cancels a pipeline."""
        self.cancelled.add(name)
        self.scheduler.cancel(name)

    def replace(self, name):
        """A worker crashes and starts again under its id."""
        host = self.hosts[name]
        old = host.runner
        host.runner = runner.Runner(old.born_ms + 1, old.work_ms)
        host.granted_ms = 0.0
        host.noted = host.received = 0
        host.results.clear()

    def play(self, seconds, step_s=0.1):
        """Lets time pass."""
        for _ in range(round(seconds / step_s)):
            self.step(step_s)

    def step(self, step_s=0.1):
        """One report of each worker, one round, one commit."""
        self.now += step_s
        for host in self.hosts.values():
            self._late(host)
            host.runner.advance(step_s * 1000)
            self._note_ends(host)
            if not host.cut:
                self._report(host)
        self.scheduler.run_round(self.now)
        for worker in list(self.scheduler.workers.values()):
            host = self.hosts[worker.id]
            orders = self.scheduler.orders_to_send(worker, self.now)
            if not host.cut and worker.incarnation == host.runner.born_ms:
                self._deliver(host, orders)
        self._commit()

    def running(self):
        """Returns what runs, as (task, worker) pairs."""
        return [
            (run.task, host.name)
            for host in self.hosts.values()
            for run in host.runner.runs.values()
        ]

    def phase(self, name):
        """Returns what a caller is shown."""
        return self.scheduler.registry.phase(name)

    def _fence(self, host):
        return (self.epoch << 31) | host.runner.born_ms

    def _note_ends(self, host):
        for ended in host.runner.ended:
            row = (ended.task, ended.run, ended.how)
            if row not in self.finished:
                self.finished.append(row)

    def _report(self, host):
        made = host.runner
        results, received = tuple(host.results), host.received
        if host.epoch != self.epoch:
            host.epoch = self.epoch
            host.received = received = 0
            host.results.clear()
            results = ()
        until_ms = min(made.clock_ms + HOLD_MS, host.granted_ms)
        assert (
            made.hold(self._fence(host), host.noted, until_ms or None) is None
        )
        state = pipelines.state(
            host.name,
            made.born_ms,
            self.cores,
            clock_ms=int(made.clock_ms),
            running=tuple(made.running_rows()),
            ended=tuple(
                (n, task, run, pipeline.End(how), saved)
                for n, task, run, how, saved in made.ended_rows()
            ),
            results=results,
            received=received,
        )
        report = messages.AgentReport(
            f"agent-{host.name}",
            self.epoch,
            int(self.now * 1000),
            True,
            ((host.name, made.born_ms),),
            (state,),
            tuple((host.name, life) for life in range(1, made.born_ms)),
            {host.name: f"{host.name}:1"},
        )
        for worker in self.scheduler.apply_report(
            report, "bus", "life", self.now
        ):
            worker.lease_granted_s = self.now
            host.granted_ms = max(host.granted_ms, made.clock_ms + GRANT_MS)
            host.noted = max(host.noted, worker.acknowledged_end)
            host.results = [
                r for r in host.results if r.sequence > worker.applied_result
            ]

    def _deliver(self, host, orders):
        for order in orders:
            if order.number > host.received:
                host.received = order.number
                self._carry_out(host, order)

    def _carry_out(self, host, order):
        made = host.runner
        outcome, reason = messages.DONE, ""
        fence = self._fence(host)
        match order.kind:
            case messages.START if host.unanswered:
                until_ms = min(made.clock_ms + HOLD_MS, host.granted_ms)
                host.late.append((self.now + 3.0, made, order, until_ms, fence))
                made.stop(order.task, order.attempt, fence)
                outcome = messages.FENCED_OFF
            case messages.START:
                until_ms = min(made.clock_ms + HOLD_MS, host.granted_ms)
                reason = made.start(order.task, order.attempt, until_ms, fence)
                outcome = messages.REFUSED if reason else messages.DONE
            case messages.STOP:
                made.stop(order.task, order.attempt, fence)
            case messages.PACE:
                made.pace(order.task, order.attempt, order.percent, fence)
        host.next_result += 1
        host.results.append(
            messages.OrderResult(
                host.next_result, order.number, outcome, reason or ""
            )
        )

    def _late(self, host):
        due = [row for row in host.late if row[0] <= self.now]
        host.late = [row for row in host.late if row[0] > self.now]
        for _, made, order, until_ms, fence in due:
            if made is host.runner:
                made.start(order.task, order.attempt, until_ms, fence)

    def _commit(self):
        batch = self.scheduler.next_batch()
        self.kept.update(batch.progress)
        self.agents.update(batch.agents)
        self.scheduler.confirm(batch)


def capacity_used(fleet, name):
    """Returns the counted demand of what runs on a worker."""
    used = resources.Resources()
    for run in fleet.hosts[name].runner.runs.values():
        pipeline_id, _, key = run.task.partition(".")
        stage = fleet.rows[pipeline_id][0].stages[int(key.split(".")[1])]
        if not stage.filler:
            used = used.plus(stage.demand)
    return used
