"""Random faults, after which no task that has room may stand still."""

import collections
import random

import pytest

from pomelostair import pipeline
from pomelostair import pipelinestarts as starts
from pomelostair import queues
from pomelostair_standins import runner
from tests import faultfleet
from tests import pipelines

# By the platform's rules, a task that lasts may stand still for 6 s after its
# last run and for 3 s more, once 7 s have passed without a disruption.
CALM_S = 7.0
AFTER_RUN_S = 6.0
IDLE_S = 3.0
# Time after the last fault from which no pipeline may be idle.
RECOVERY_S = 14.0
# Time after which an attempt without an answer, and a sound worker without
# attempts, count as stuck.
STUCK_S = 5.0
# Longest time that a stop takes on the platform.
STOP_GRACE_MS = 400
# Share of the cores that short tasks use in a busy scenario, and the time until
# which it gets them.
BUSY_SHARE = 0.9
BUSY_UNTIL_S = 1040.0
FILL_INTERVAL_S = 0.25
TERMINAL = pipeline.TERMINAL_PHASES


class Watch:
    """Checks a fleet after each step, and records what broke a rule.

    Args:
        fleet: The simulated fleet.
        short_tasks_yield: Whether a lasting task has room where only tasks
            that end take it.
    """

    def __init__(self, fleet, short_tasks_yield=False):
        self.fleet = fleet
        self._short_tasks_yield = short_tasks_yield
        self.active = 0
        self.disturbed_s = fleet.now
        self.violations = []
        self._since_s = {}
        self._checked_starts = 0

    @property
    def calm_s(self):
        """Time since the last fault was injected or active."""
        return 0.0 if self.active else self.fleet.now - self.disturbed_s

    def disturb(self):
        """Records a fault now."""
        self.disturbed_s = self.fleet.now

    def step(self):
        """Advances the fleet by one step and checks it."""
        self.fleet.step()
        if self.active:
            self.disturb()
        self._check_invariants()
        for crash in self.fleet.crashes:
            self._record("crash", crash)
        held = set()
        held.update(self._idle_lasting())
        held.update(self._idle_pipelines())
        held.update(self._stuck())
        now = self.fleet.now
        self._since_s = {row: self._since_s.get(row, now) for row in held}
        for (kind, name, limit_s), since_s in self._since_s.items():
            if (
                now - since_s > limit_s
                and self.calm_s > CALM_S
                and (kind != "idle pipeline" or self.calm_s > RECOVERY_S)
            ):
                self._record(kind, name)

    def _record(self, kind, name):
        if not any(row[1:] == (kind, name) for row in self.violations):
            self.violations.append((round(self.fleet.now, 1), kind, name))

    def _check_invariants(self):
        fleet = self.fleet
        copies = collections.Counter(task for task, _ in fleet.running())
        for task, count in copies.items():
            if count > 1:
                self._record("twice", task)
        for name, host in fleet.hosts.items():
            used = sum(
                fleet.stage_of(task).demand.millicores
                for task in host.runner.runs
                if not fleet.stage_of(task).filler
            )
            # A worker that has just shrunk keeps its attempts.
            if used > fleet.cores * 1000:
                self._record("over capacity", name)
        done = self._done()
        for _, task, _ in fleet.started[self._checked_starts :]:
            name, occurrence, number, index = task.split(".")
            stages = fleet.rows[name][0].stages
            for before in stages[int(number)].after:
                for other in range(stages[before].count):
                    if f"{name}.{occurrence}.{before}.{other}" not in done:
                        self._record("out of order", task)
            progress = fleet.stored_progress.get(name)
            if progress is not None:
                bits = int.from_bytes(
                    progress.done.get(f"{occurrence}.{number}", b""), "little"
                )
                if (
                    bits >> int(index) & 1
                    or int(occurrence) < progress.done_occurrences
                ):
                    self._record("run again", task)
        self._checked_starts = len(fleet.started)

    def _done(self):
        done = {t for t, _, how in self.fleet.finished if how == "done"}
        for task in list(done):
            stage_key, _, _ = task.rpartition(".")
            stage = self.fleet.stage_of(task)
            if stage.gang:
                done.update(f"{stage_key}.{n}" for n in range(stage.count))
        return done

    def _open_tasks(self):
        """Yields pipelines that have not ended, with their ready tasks."""
        fleet = self.fleet
        done = self._done()
        for name, (declared, _) in fleet.rows.items():
            progress = fleet.stored_progress.get(name)
            phase = progress.phase if progress else None
            if name in fleet.cancelled or phase in TERMINAL:
                continue
            ready = []
            for occurrence in range(max(1, declared.occurrences)):
                if (
                    declared.timed
                    and declared.due_ms(occurrence) > fleet.now * 1000
                ):
                    break
                for number, stage in enumerate(declared.stages):
                    if all(
                        f"{name}.{occurrence}.{before}.{index}" in done
                        for before in stage.after
                        for index in range(declared.stages[before].count)
                    ):
                        ready.extend(
                            (f"{name}.{occurrence}.{number}.{index}", stage)
                            for index in range(stage.count)
                        )
            yield (
                name,
                [(t, s) for t, s in ready if s.lasting or t not in done],
            )

    def _idle_lasting(self):
        fleet = self.fleet
        running = {task for task, _ in fleet.running()}
        for _, ready in self._open_tasks():
            for task, stage in ready:
                if not stage.lasting or task in running:
                    continue
                if fleet.now - fleet.ended_s.get(task, 0.0) < AFTER_RUN_S:
                    continue
                if self._has_room(task, stage):
                    yield "idle lasting task", task, IDLE_S

    def _idle_pipelines(self):
        fleet = self.fleet
        running = {task.partition(".")[0] for task, _ in fleet.running()}
        usable = [h for h in fleet.hosts.values() if h.usable]
        used = sum(
            fleet.stage_of(task).demand.millicores
            for host in usable
            for task in host.runner.runs
        )
        if used * 2 >= sum(host.cores for host in usable) * 1000:
            return
        for name, ready in self._open_tasks():
            if name not in running and any(
                self._has_room(task, stage) for task, stage in ready
            ):
                yield "idle pipeline", name, IDLE_S

    def _has_room(self, task, stage):
        needed = stage.count if stage.gang else 1
        slots = faultfleet.free_slots(
            self.fleet,
            stage,
            task.rpartition(".")[0],
            stage.lasting and self._short_tasks_yield,
        )
        return slots >= 2 * needed

    def _stuck(self):
        fleet = self.fleet
        if not fleet.leads:
            return
        for key, state, worker in faultfleet.stuck_attempts(fleet):
            host = next(
                (h for h in fleet.hosts.values() if h.worker == worker), None
            )
            if host is not None and host.usable:
                yield f"stuck {state}", (key, worker), STUCK_S
        for host in fleet.hosts.values():
            worker = fleet.scheduler.workers.get(host.key)
            if host.usable and not (
                worker is not None and worker.is_schedulable(fleet.now)
            ):
                yield "unschedulable worker", host.name, STUCK_S


class Scenario:
    """A random scenario with bursts of faults and calm times.

    Args:
        seed: Seed of the random choices.
        timed: Whether some pipelines have occurrences with due times.
    """

    def __init__(self, seed, timed=True):
        self.random = random.Random(seed)
        self.timed = timed
        self.fleet = self.make_fleet()
        self.fleet.commit_steps = self.random.choice((0, 0, 1, 3))
        self.fleet.lists_at_once = self.random.random() < 0.3
        self.watch = Watch(self.fleet)
        self.actions = []
        self.log = []
        self.count = 0
        self.lasting_millicores = 0

    def make_fleet(self):
        """Returns a fleet of random size."""
        names = tuple(f"w{n + 1}" for n in range(self.random.randint(2, 5)))
        return faultfleet.FaultFleet(
            names, self.random.choice((6, 10)), self.random.choice((1, 1, 2))
        )

    def play(self):
        """Plays the scenario; returns the violations."""
        self.run_for(1)
        for _ in range(self.random.randint(1, 3)):
            self.submit_lasting()
        for _ in range(self.random.randint(2, 5)):
            window_s = self.random.choice((0.5, 2.0, 6.0))
            for _ in range(self.random.randint(1, 6)):
                self.at(self.random.uniform(0, window_s), self.inject)
            for _ in range(self.random.randint(0, 3)):
                self.at(self.random.uniform(0, 10), self.submit_batch)
            if self.random.random() < 0.4:
                self.at(self.random.uniform(0, 10), self.submit_lasting)
            if self.random.random() < 0.1:
                self.at(self.random.uniform(0, 10), self.cancel)
            self.run_for(window_s + self.random.choice((1, 4, 10, 16)))
        while self.actions or self.watch.active:
            self.run_for(faultfleet.STEP_S)
        self.run_for(RECOVERY_S + 3 * IDLE_S)
        return self.watch.violations

    def at(self, delay_s, action):
        """Schedules an action."""
        self.actions.append((self.fleet.now + delay_s, action))

    def run_for(self, seconds):
        """Advances the fleet, with the scheduled actions."""
        for _ in range(round(seconds / faultfleet.STEP_S)):
            due = [a for a in self.actions if a[0] <= self.fleet.now]
            self.actions = [a for a in self.actions if a[0] > self.fleet.now]
            for _, action in due:
                action()
            self.watch.step()

    def note(self, text):
        """Records what was done, to explain a violation."""
        self.log.append(f"{self.fleet.now:.1f} {text}")

    def submit(self, *stages, **fields):
        """Submits a pipeline under a new name."""
        self.count += 1
        name = f"p{self.count}"
        self.note(f"submit {name} {stages} {fields}")
        self.fleet.submit(name, *stages, **fields)

    def submit_lasting(self):
        """Submits lasting tasks while they need less than half of the room."""
        count = self.random.randint(1, 3)
        millicores = self.random.choice((500, 1000, 2500))
        capacity = len(self.fleet.hosts) * self.fleet.cores * 1000
        if self.lasting_millicores + count * millicores > 0.4 * capacity:
            return
        self.lasting_millicores += count * millicores
        fields = {}
        if self.random.random() < 0.5:
            fields = {
                "latency_target_ms": 50.0,
                "image": self.random.choice(("s1", "s2")),
                "skippable": self.random.choice((0, 1)),
            }
        if self.random.random() < 0.2:
            fields["most_per_worker"] = 2
        if self.random.random() < 0.1:
            fields["gang"] = True
        if self.random.random() < 0.2:
            fields["label"] = self.random.choice(("a", "b"))
        self.submit(
            pipelines.stage(
                count,
                millicores,
                lasting=True,
                estimate_ms=0,
                checkpointing=self.random.random() < 0.5,
                **fields,
            ),
            queue=self.random.choice(("recast", "fit", "advised")),
        )

    def submit_batch(self):
        """Submits a pipeline that ends."""
        stages = []
        for number in range(self.random.randint(1, 3)):
            fields = {}
            if self.random.random() < 0.3:
                fields = {
                    "filler": True,
                    "image": self.random.choice(("f1", "f2")),
                }
            elif self.random.random() < 0.2:
                fields["gang"] = True
            stages.append(
                pipelines.stage(
                    self.random.randint(1, 4),
                    self.random.choice((500, 1000, 2000)),
                    estimate_ms=self.random.choice((300, 1500, 6000)),
                    checkpointing=self.random.random() < 0.5,
                    after=(number - 1,) if number else (),
                    **fields,
                )
            )
        timing = {}
        if self.random.random() < 0.2 and self.timed:
            timing = {
                "occurrences": 3,
                "first_run_ms": int(self.fleet.now * 1000) + 500,
                "interval_ms": 3000,
            }
        self.submit(
            *stages,
            queue=self.random.choice(("recast", "fit", "advised")),
            **timing,
        )

    def cancel(self):
        """Cancels a pipeline."""
        if not self.fleet.rows:
            return
        name = self.random.choice(sorted(self.fleet.rows))
        self.note(f"cancel {name}")
        self.fleet.cancel(name)

    def inject(self):
        """Injects a random fault."""
        self.watch.disturb()
        faults = (
            self.lose_leaders,
            self.lose_leaders,
            self.restart_worker,
            self.restart_agent,
            self.deregister,
            self.lose_for_good,
            self.fail_commits,
            self.change_queues,
            self.silence_advisor,
            self.toggle,
            self.toggle,
            self.toggle,
            self.toggle,
        )
        self.random.choice(faults)()

    def sound_host(self):
        """Returns a random host whose worker and agent run."""
        hosts = [
            h
            for h in self.fleet.hosts.values()
            if not (h.down or h.agent.down or h.draining)
        ]
        return self.random.choice(hosts) if hosts else None

    def hold_fault(self, duration_s, end):
        """Keeps a fault active for a time."""
        self.watch.active += 1

        def finish():
            end()
            self.watch.active -= 1
            self.watch.disturb()

        self.at(duration_s, finish)

    def duration_s(self):
        """Returns a random duration of a fault."""
        return self.random.choice((0.3, 1.0, 2.5, 4.0, 7.5, 10.0))

    def lose_leaders(self):
        """Loses one or several leaders in a row."""
        delay_s = 0.0
        for _ in range(self.random.choice((1, 1, 2, 3))):
            gap_s = self.random.choice((0.1, 1.0, 1.8, 3.0))
            self.at(delay_s, self.lose_leader)
            self.at(delay_s + gap_s, self.start_leader)
            delay_s += gap_s + self.random.choice((0.1, 0.5, 1.5, 4.0))

    def lose_leader(self):
        """Loses the leader."""
        self.watch.disturb()
        self.note("lose leader")
        self.fleet.lose_leader(self.random.random() < 0.5)

    def start_leader(self):
        """Starts a leader unless one runs."""
        if self.fleet.leaderless:
            self.fleet.start_leader()
            self.note(f"leader {self.fleet.epoch}")

    def restart_worker(self):
        """Restarts a worker under its id or another one."""
        host = self.sound_host()
        if host is None:
            return
        name = host.name
        worker_id = self.random.choice(
            (None, f"{name}-{int(self.fleet.now * 10)}")
        )
        duration_s = self.duration_s()
        self.note(f"worker {name} restarts as {worker_id} in {duration_s}")
        self.fleet.stop_worker(name)

        def end():
            if not host.agent.lost:
                self.fleet.return_worker(name, worker_id)

        self.hold_fault(duration_s, end)

    def restart_agent(self):
        """Restarts an agent."""
        host = self.sound_host()
        if host is None:
            return
        duration_s = self.duration_s()
        self.note(f"{host.agent.name} restarts in {duration_s}")
        self.fleet.stop_agent(host.agent)

        def end():
            if not host.agent.lost:
                self.fleet.return_agent(host.agent)

        self.hold_fault(duration_s, end)

    def deregister(self):
        """Drains a worker, which deregisters and may come back."""
        host = self.sound_host()
        if host is None:
            return
        comes_back = self.random.random() < 0.7 or self.spare_hosts() < 1
        duration_s = self.duration_s()
        self.note(f"worker {host.name} leaves, returns: {comes_back}")
        host.draining = True

        def come_back():
            if not host.agent.lost:
                self.fleet.return_worker(host.name)

        def leave():
            self.fleet.deregister_worker(host.name)
            if comes_back:
                self.hold_fault(duration_s, come_back)

        self.hold_fault(2.0, leave)

    def spare_hosts(self):
        """Returns how many hosts may still be lost for good."""
        return sum(not h.down for h in self.fleet.hosts.values()) - 2

    def lose_for_good(self):
        """Loses a worker for good, with its agent or alone."""
        host = self.sound_host()
        if host is None or self.spare_hosts() < 1:
            return
        count = len(self.fleet.hosts_of(host.agent))
        if self.random.random() < 0.5 and self.spare_hosts() >= count:
            self.note(f"{host.agent.name} and its workers are lost")
            self.fleet.lose_agent(host.agent)
        else:
            self.note(f"worker {host.name} is lost")
            self.fleet.stop_worker(host.name)

    def fail_commits(self):
        """Lets commits fail for some time."""
        duration_s = self.duration_s()
        self.note(f"store down for {duration_s}")
        self.fleet.store_down = True

        def end():
            self.fleet.store_down = False

        self.hold_fault(duration_s, end)

    def change_queues(self):
        """Removes a queue from the configuration for some time."""
        removed = self.random.choice(faultfleet.TABLE.queues)
        duration_s = self.duration_s()
        self.note(f"queue {removed.name} removed for {duration_s}")
        kept = tuple(q for q in faultfleet.TABLE.queues if q is not removed)
        self.fleet.set_table(queues.QueueTable(2, kept))
        self.hold_fault(
            duration_s, lambda: self.fleet.set_table(faultfleet.TABLE)
        )

    def silence_advisor(self):
        """Lets the advisor answer nothing for some time."""
        duration_s = self.duration_s()
        self.note(f"advisor down for {duration_s}")
        self.fleet.advisor_down = True

        def end():
            self.fleet.advisor_down = False

        self.hold_fault(duration_s, end)

    def toggle(self):
        """Sets a flag of a host or its agent for some time."""
        host = self.sound_host()
        if host is None:
            return
        flag, value = self.random.choice(
            (
                ("partitioned", True),
                ("partitioned", True),
                ("reports_lost", True),
                ("orders_lost", True),
                ("report_delay_s", 0.5),
                ("report_delay_s", 2.5),
                ("delays_starts", True),
                ("unreachable", True),
                ("busy", True),
                ("failing", True),
                ("hung", True),
                ("cores", 2),
            )
        )
        duration_s = self.duration_s()
        target = next(
            t for t in (host, host.agent, host.runner) if hasattr(t, flag)
        )
        usual = getattr(target, flag)
        if usual and flag != "cores":
            return
        self.note(f"{host.name} {flag} {value} for {duration_s}")
        setattr(target, flag, value)

        def end():
            setattr(
                target, flag, self.fleet.cores if flag == "cores" else usual
            )

        self.hold_fault(duration_s, end)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(8))
    def test_no_ready_task_with_room_stands_still(self, seed):
        """Guards against tasks that are not started for long after faults."""
        scenario = Scenario(seed)
        violations = scenario.play()
        assert not violations, "\n".join([*scenario.log, *map(str, violations)])


class JointScenario(Scenario):
    """A random scenario whose faults strike several hosts and the leader.

    Args:
        seed: Seed of the random choices.
        busy: Whether short tasks fill most of the fleet.
    """

    def __init__(self, seed, busy=False):
        super().__init__(seed, timed=False)
        self.busy = busy
        self.watch = Watch(self.fleet, short_tasks_yield=busy)

    def make_fleet(self):
        """Returns a fleet of some racks."""
        names = tuple(f"w{n + 1}" for n in range(self.random.randint(4, 9)))
        return faultfleet.FaultFleet(
            names, self.random.choice((6, 10)), self.random.choice((1, 1, 2))
        )

    def play(self):
        """Plays the scenario; returns the violations."""
        self.run_for(1)
        for _ in range(self.random.randint(1, 3)):
            self.submit_lasting()
        if self.busy:
            self.fill()
        self.run_for(self.random.choice((1, 4, 8)))
        for _ in range(2):
            for _ in range(self.random.choice((1, 1, 2))):
                self.at(self.random.uniform(0, 2), self.inject)
            for _ in range(self.random.randint(0, 2)):
                self.at(self.random.uniform(0, 4), self.submit_batch)
            if self.random.random() < 0.3:
                self.at(self.random.uniform(0, 4), self.submit_lasting)
            self.run_for(self.random.choice((3, 6, 10, 16, 24)))
        while self.actions or self.watch.active:
            self.run_for(faultfleet.STEP_S)
        self.run_for(RECOVERY_S + 3 * IDLE_S)
        return self.watch.violations

    def fill(self):
        """Submits short tasks now and again, for most of the cores."""
        if self.fleet.now > BUSY_UNTIL_S:
            return
        usable = [h for h in self.fleet.hosts.values() if h.usable]
        capacity = sum(host.cores for host in usable)
        # Each takes 2 cores for 1.5 s on average.
        per_second = BUSY_SHARE * capacity / (2 * 1.5)
        count = max(1, round(per_second * FILL_INTERVAL_S))
        # Without a note: the log would hold little else.
        self.count += 1
        self.fleet.submit(
            f"p{self.count}",
            pipelines.stage(
                count, 2000, estimate_ms=self.random.choice((1000, 1500, 2000))
            ),
            queue=self.random.choice(("recast", "fit")),
        )
        self.at(FILL_INTERVAL_S, self.fill)

    def inject(self):
        """Injects a random fault."""
        self.watch.disturb()
        faults = (
            self.lose_rack,
            self.lose_rack,
            self.lose_all,
            self.lose_leader_while_it_recovers,
            self.lose_hosts_and_leaders,
        )
        self.random.choice(faults)()

    def agents(self):
        """Returns the agents that run."""
        agents = {h.agent.name: h.agent for h in self.fleet.hosts.values()}
        return [a for a in agents.values() if not a.down]

    def lose_rack(self):
        """Loses a third of the hosts, and maybe the leader, at one moment."""
        agents = self.agents()
        if self.random.random() < 0.7:
            self.lose_leader_for_some_time()
        count = max(1, len(agents) // 3)
        for agent in self.random.sample(agents, min(count, len(agents))):
            self.lose_host(agent)

    def lose_all(self):
        """Loses all hosts and the leader at one moment."""
        self.lose_leader_for_some_time()
        for agent in self.agents():
            self.lose_host(agent)

    def lose_hosts_and_leaders(self):
        """Loses a rack with the leader, and the next leader soon after."""
        self.lose_rack()
        self.lose_leader_while_it_recovers()

    def lose_leader_for_some_time(self):
        """Loses the leader; the next one starts once its lease has lapsed."""
        self.at(0.0, self.lose_leader)
        self.at(self.random.choice((1.8, 1.8, 2.2, 4.0)), self.start_leader)

    def lose_leader_while_it_recovers(self):
        """Loses several leaders, each soon after its start."""
        delay_s = 0.0
        for _ in range(self.random.choice((2, 3))):
            self.at(delay_s, self.lose_leader)
            self.at(delay_s + 1.8, self.start_leader)
            delay_s += 1.8 + self.random.choice((0.1, 0.3, 0.6, 1.0))

    def lose_host(self, agent):
        """Loses an agent and its workers, which return under other ids."""
        hosts = self.fleet.hosts_of(agent)
        for_good = self.random.random() < 0.2 and self.spare_hosts() >= len(
            hosts
        )
        duration_s = self.random.choice((0.5, 1.0, 2.0, 4.0, 8.0, 12.0))
        self.note(f"{agent.name} lost for {'good' if for_good else duration_s}")
        if for_good:
            self.fleet.lose_agent(agent)
            return
        self.fleet.stop_agent(agent)
        for host in hosts:
            self.fleet.stop_worker(host.name)
        self.hold_fault(duration_s, lambda: self.return_host(agent))

    def return_host(self, agent):
        """Starts an agent and its workers, in a random order."""
        if agent.lost:
            return
        agent_first = self.random.random() < 0.5
        if agent_first:
            self.fleet.return_agent(agent)
        for host in self.fleet.hosts_of(agent):
            if host.down:
                same = self.random.random() < 0.2
                worker_id = f"{host.name}-{int(self.fleet.now * 10)}"
                self.fleet.return_worker(host.name, None if same else worker_id)
        if not agent_first:
            self.fleet.return_agent(agent)


class TestJointFaults:
    @pytest.mark.parametrize("seed", range(8))
    def test_no_task_stands_still_after_a_rack_and_the_leader(self, seed):
        """Guards against waits that add up where several parts are lost."""
        scenario = JointScenario(seed)
        violations = scenario.play()
        assert not violations, "\n".join([*scenario.log, *map(str, violations)])

    @pytest.mark.parametrize("seed", range(3))
    def test_short_tasks_do_not_take_the_room_of_lasting_ones(self, seed):
        """Guards against lasting tasks that starve on a full fleet."""
        scenario = JointScenario(seed, busy=True)
        violations = scenario.play()
        assert not violations, "\n".join([*scenario.log, *map(str, violations)])


def calm_fleet(names=("w1", "w2"), cores=8):
    """Returns a fleet whose workers are schedulable."""
    fleet = faultfleet.FaultFleet(names, cores)
    fleet.run_for(1.5)
    return fleet


def steps_in(seconds):
    """Returns the number of steps in a time."""
    return round(seconds / faultfleet.STEP_S)


def workers_of(fleet, task):
    """Returns the hosts on which a task runs."""
    return [host for other, host in fleet.running() if other == task]


class TestTimedPipelines:
    def test_new_leader_adopts_tasks_of_an_occurrence(self):
        """Guards against stopping a running occurrence and running it twice.

        The list arrives before the first round, which opens the occurrence.
        """
        fleet = calm_fleet()
        fleet.lists_at_once = True
        fleet.submit(
            "a",
            pipelines.stage(estimate_ms=20_000),
            occurrences=2,
            first_run_ms=int(fleet.now * 1000) + 100,
            interval_ms=60_000,
        )
        fleet.run_for(1)
        (before,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_leader()
        fleet.run_for(1)
        fleet.start_leader()
        for _ in range(20):
            fleet.step()
            assert workers_of(fleet, "a.0.0.0") == [before]

    def test_members_of_a_gang_that_end_together_are_applied(self):
        """Guards against a report that fails for want of the occurrence."""
        fleet = calm_fleet()
        fleet.submit(
            "a",
            pipelines.stage(4, gang=True),
            occurrences=2,
            first_run_ms=int(fleet.now * 1000) + 100,
            interval_ms=2_000,
        )
        fleet.run_for(6)
        assert not fleet.crashes
        assert fleet.phase("a") is pipeline.Phase.COMPLETED


class TestAdvice:
    def test_occurrence_without_worker_does_not_hide_the_next(self):
        """Guards against tasks behind those that no worker may run."""
        fleet = calm_fleet()
        workers = tuple(fleet.hosts)
        name = next(
            name
            for name in map("p{}".format, range(1000))
            if not any(faultfleet.approves(f"{name}.0.0", w) for w in workers)
            and any(faultfleet.approves(f"{name}.1.0", w) for w in workers)
        )
        fleet.submit(name, queue="advised", occurrences=2)
        fleet.run_for(IDLE_S + 2)
        assert any(task == f"{name}.1.0.0" for _, task, _ in fleet.started)

    def test_refused_task_is_not_tied_to_the_only_worker_with_a_ticket(self):
        """Guards against a task that is not offered to workers without one."""
        fleet = calm_fleet()
        name = next(
            name
            for name in map("p{}".format, range(1000))
            if all(faultfleet.approves(f"{name}.0.0", w) for w in fleet.hosts)
        )
        fleet.submit(
            "full", pipelines.stage(millicores=8000, estimate_ms=60_000)
        )
        fleet.run_for(1)
        (full,) = workers_of(fleet, "full.0.0.0")
        (other,) = fleet.hosts.keys() - {full}
        fleet.hosts[other].busy = True
        fleet.submit(name, pipelines.stage(lasting=True), queue="advised")
        fleet.run_for(1)
        fleet.cancel("full")
        fleet.run_for(IDLE_S)
        assert workers_of(fleet, f"{name}.0.0.0") == [full]


class TestLostOrders:
    def test_order_is_sent_again_soon_after_an_outage(self):
        """Guards against a start that waits for 9 s after its link is back."""
        fleet = calm_fleet(names=("w1",))
        fleet.hosts["w1"].agent.orders_lost = True
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(8)
        fleet.hosts["w1"].agent.orders_lost = False
        fleet.run_for(4)
        assert workers_of(fleet, "a.0.0.0")

    def test_result_of_a_restarted_agent_is_applied(self):
        """Guards against a refused start that counts as ordered for ever.

        The agent restarted while its worker had no leases, and numbers its
        results from 1 again.
        """
        fleet = calm_fleet(names=("w1",))
        for number in range(10):
            fleet.submit(f"p{number}")
        fleet.run_for(5)
        fleet.stop_agent(fleet.hosts["w1"].agent)
        fleet.run_for(10)
        fleet.return_agent(fleet.hosts["w1"].agent)
        fleet.run_for(4)
        fleet.hosts["w1"].busy = True
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(1)
        fleet.hosts["w1"].busy = False
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0")

    def test_stop_of_an_unknown_attempt_outlives_its_agent(self):
        """Guards against a worker that gets no attempts for ever.

        Its agent restarted before it carried out the stop.
        """
        fleet = calm_fleet(names=("w1",))
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(1)
        fleet.lose_leader()
        del fleet.rows["a"]
        fleet.stage_of = lambda task: pipelines.stage(lasting=True)
        fleet.run_for(1)
        host = fleet.hosts["w1"]
        fleet.start_leader()
        host.agent.orders_lost = True
        host.agent.epoch = fleet.epoch
        fleet.run_for(1)
        fleet.stop_agent(fleet.hosts["w1"].agent)
        fleet.run_for(1)
        host.agent.orders_lost = False
        fleet.return_agent(fleet.hosts["w1"].agent)
        fleet.run_for(10)
        assert not fleet.running()


class TestReportOfAnEarlierProcess:
    def test_it_does_not_silence_the_agent(self):
        """Guards against a host whose reports are ignored for a whole term.

        The first report of a term that the earlier process sent arrives after
        those of its successor.
        """
        fleet = calm_fleet(names=("w1",))
        fleet.lose_leader()
        fleet.run_for(1)
        fleet.start_leader()
        fleet.hosts["w1"].agent.report_delay_s = 2.0
        fleet.step()
        fleet.stop_agent(fleet.hosts["w1"].agent)
        fleet.run_for(0.5)
        fleet.hosts["w1"].agent.report_delay_s = 0.0
        fleet.return_agent(fleet.hosts["w1"].agent)
        fleet.run_for(3)
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0")


class TestHostThatWasJustLost:
    @pytest.mark.parametrize("gang", [False, True], ids=["single", "gang"])
    def test_lasting_task_is_not_bound_to_it(self, gang):
        """Guards against a first start that waits for leases of a lost host.

        The host counts as silent only 2 s after its last report.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("first", pipelines.stage(lasting=True, gang=gang))
        fleet.run_for(2)
        (name,) = workers_of(fleet, "first.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        # Among equal workers, the fullest is chosen: the lost one.
        fleet.submit(
            "a",
            pipelines.stage(2, lasting=True, latency_target_ms=50.0, gang=gang),
        )
        watch = Watch(fleet)
        for _ in range(round(CALM_S / faultfleet.STEP_S)):
            watch.step()
        assert workers_of(fleet, "a.0.0.0") and workers_of(fleet, "a.0.0.1")
        assert not watch.violations

    def test_task_does_not_start_there_when_the_host_answers_again(self):
        """Guards against a second run by a start that was withdrawn."""
        fleet = calm_fleet(names=("w1", "w2"))
        fleet.hosts["w1"].agent.reports_lost = True
        fleet.submit("a", pipelines.stage(lasting=True))
        watch = Watch(fleet)
        for _ in range(30):
            watch.step()
        assert workers_of(fleet, "a.0.0.0") == ["w2"]
        fleet.hosts["w1"].agent.reports_lost = False
        for _ in range(100):
            watch.step()
        assert len(fleet.started) == 1
        assert not watch.violations


class TestFullFleet:
    @pytest.mark.parametrize(
        "queue, gang",
        [("recast", False), ("recast", True), ("advised", False)],
        ids=["single", "gang", "advised"],
    )
    def test_lasting_tasks_start_beside_short_ones(self, queue, gang):
        """Guards against lasting tasks that starve on a full fleet."""
        fleet = calm_fleet(names=("w1", "w2", "w3", "w4", "w5", "w6"))
        for step in range(120):
            if step % 3 == 0:
                fleet.submit(
                    f"short-{step}", pipelines.stage(12, estimate_ms=1500)
                )
            if step == 30:
                fleet.submit("a", pipelines.stage(2, 4000, lasting=True))
                fleet.submit(
                    "b",
                    pipelines.stage(2, 4000, lasting=True, gang=gang),
                    queue=queue,
                )
            fleet.step()
        for task in ("a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1"):
            assert workers_of(fleet, task), task

    def fill(self, fleet, queue, duration_ms):
        """Submits more work than fits, in tasks of 3.5 of 8 cores."""
        for number in range(12):
            fleet.submit(
                f"batch-{number}",
                pipelines.stage(
                    len(fleet.hosts),
                    3500,
                    estimate_ms=duration_ms + 130 * number,
                ),
                queue=queue,
            )
            fleet.run_for(0.3)

    def lose_worker_of_a(self):
        """Returns a fleet full of less urgent work that lost the worker of "a".

        The lasting task needs a worker nearly for itself.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("a", pipelines.stage(1, 7000, lasting=True), queue="fit")
        fleet.run_for(1)
        self.fill(fleet, "recast", 20_000)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        return fleet

    def test_room_that_needs_two_ends_comes_together(self):
        """Guards against giving up room for a lasting task again and again.

        Other tasks take 4.4 s, and are as urgent. On each worker, one of them
        ends 2.2 s after the other.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        stage = pipelines.stage(3, 3500, estimate_ms=4400)
        fleet.submit("batch-0", stage, queue="fit")
        fleet.run_for(2.2)
        for number in range(1, 20):
            fleet.submit(f"batch-{number}", stage, queue="fit")
        fleet.run_for(1)
        fleet.submit("a", pipelines.stage(1, 7000, lasting=True), queue="fit")
        fleet.run_for(CALM_S)
        assert workers_of(fleet, "a.0.0.0")

    @pytest.mark.parametrize("with_leader", [False, True])
    def test_lost_lasting_task_preempts_less_urgent_work(
        self, with_leader, monkeypatch
    ):
        """Guards against LOST: it has priority, and room only with that."""
        monkeypatch.setattr(runner, "STOP_GRACE_MS", STOP_GRACE_MS)
        fleet = self.lose_worker_of_a()
        leaderless_s = 0.0
        if with_leader:
            fleet.lose_leader()
            leaderless_s = faultfleet.LEADER_LEASE_S
            fleet.run_for(leaderless_s)
            fleet.start_leader()
        fleet.run_for(AFTER_RUN_S + IDLE_S - leaderless_s)
        assert workers_of(fleet, "a.0.0.0")

    @pytest.mark.parametrize("duration_ms", [2000, 4400])
    def test_room_is_there_when_the_leases_of_a_lost_worker_lapse(
        self, duration_ms
    ):
        """Guards against waits for leases and for room one after the other.

        The tasks that fill the fleet are as urgent.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("a", pipelines.stage(1, 7000, lasting=True), queue="fit")
        fleet.run_for(1)
        stage = pipelines.stage(2, 3500, estimate_ms=duration_ms)
        for number in range(60):
            fleet.submit(f"batch-{number}", stage, queue="fit")
            fleet.run_for(0.9 if number < 2 else 0.1)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        fleet.run_for(AFTER_RUN_S + IDLE_S)
        assert workers_of(fleet, "a.0.0.0")

    @pytest.mark.parametrize("later_s", [0.3, 0.9])
    def test_lost_lasting_task_is_not_bound_to_a_host_lost_meanwhile(
        self, later_s
    ):
        """Guards against a wait for leases that follows another one."""
        fleet = self.lose_worker_of_a()
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        while not task.reserved_until_s > fleet.now:
            fleet.step()
        fleet.run_for(later_s)
        (held,) = [
            worker
            for worker in fleet.scheduler.workers.values()
            if worker.has_reservation_for(task, fleet.now)
        ]
        fleet.lose_agent(fleet.host_of(held.id).agent)
        fleet.run_for(CALM_S)
        assert workers_of(fleet, "a.0.0.0")

    def test_gang_without_room_for_all_keeps_none(self):
        """Guards against workers that are held for a gang that never starts."""
        fleet = calm_fleet()
        fleet.submit("short", pipelines.stage(8, 2000, estimate_ms=60_000))
        fleet.submit("a", pipelines.stage(3, 5000, lasting=True, gang=True))
        for _ in range(60):
            fleet.step()
            workers = fleet.scheduler.workers.values()
            assert not any(worker.reservations for worker in workers)


class TestOtherTasks:
    def test_many_tasks_without_room_do_not_hide_a_lasting_one(self):
        """Guards against a lasting task behind a wide pipeline."""
        fleet = calm_fleet()
        fleet.submit(
            "wide",
            pipelines.stage(
                starts.MAX_CONSIDERED_TASKS, 9000, estimate_ms=60_000
            ),
            queue="fit",
        )
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0")

    def test_gang_between_two_tasks_of_a_stage_does_not_overfill(self):
        """Guards against a choice that rests on room which a gang has taken."""
        fleet = calm_fleet(cores=4)
        fleet.submit(
            "a",
            pipelines.stage(2, 2000, estimate_ms=60_000),
            pipelines.stage(4, 1000, estimate_ms=60_000, gang=True),
        )
        ready = fleet.scheduler.registry.pipelines["a"].ready
        # As if its last attempt had ended after the gang became ready.
        ready["a.0.0.1"] = ready.pop("a.0.0.1")
        watch = Watch(fleet)
        for _ in range(20):
            watch.step()
        assert not watch.violations


class TestRefusals:
    def test_task_that_all_workers_refused_is_not_tied_to_one(self):
        """Guards against tries on one worker while another has room."""
        fleet = calm_fleet()
        for host in fleet.hosts.values():
            host.busy = True
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(1.5)
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        assert task.avoided_workers == {"w1", "w2"}
        # The choice between equal workers falls on the first.
        fleet.hosts["w2"].busy = False
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0")

    def test_task_that_failed_on_all_workers_is_not_tied_to_one(self):
        """Guards against retries on a failing worker beside a sound one."""
        fleet = calm_fleet()
        for host in fleet.hosts.values():
            host.failing = True
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(3)
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        assert task.avoided_workers == {"w1", "w2"}
        # The choice between equal workers falls on the first.
        fleet.hosts["w2"].failing = False
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0") == ["w2"]

    @pytest.mark.parametrize("reason", ["no-heartbeat", "late", "room"])
    def test_task_is_not_tied_to_a_worker_that_refuses_it(self, reason):
        """Guards against tries on one worker while another has room."""
        fleet = calm_fleet()
        # The choice between equal workers falls on the first.
        fleet.hosts["w1"].refusal = reason
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(IDLE_S)
        assert workers_of(fleet, "a.0.0.0") == ["w2"]

    def test_gang_is_not_refused_once_for_each_member(self):
        """Guards against a wait for a gang that grows with its size.

        One worker refuses every start, and another has room for all.
        """
        fleet = calm_fleet(cores=32)
        fleet.hosts["w1"].busy = True
        fleet.submit("a", pipelines.stage(20, gang=True, lasting=True))
        fleet.run_for(IDLE_S)
        assert len(fleet.running()) == 20

    def test_refused_task_does_not_wait_for_workers_with_successes(self):
        """Guards against an idle pipeline: a refusal uses up no attempt.

        The only worker with a success is full, the next five refuse.
        """
        fleet = calm_fleet(names=tuple(f"w{n}" for n in range(1, 8)))
        fleet.submit("first", pipelines.stage(millicores=8000))
        fleet.run_for(2)
        assert fleet.phase("first") is pipeline.Phase.COMPLETED
        fleet.submit("full", pipelines.stage(millicores=8000, lasting=True))
        fleet.run_for(1)
        assert workers_of(fleet, "full.0.0.0") == ["w1"]
        for name in ("w2", "w3", "w4", "w5", "w6"):
            fleet.hosts[name].busy = True
        fleet.submit("a", pipelines.stage(estimate_ms=60_000))
        fleet.run_for(IDLE_S)
        assert workers_of(fleet, "a.0.0.0") == ["w7"]

    def test_new_leader_continues_the_attempt_numbers(self):
        """Guards against starts that a worker refuses as outdated.

        Refused starts may use up the numbers that are set aside for a term.
        """
        fleet = calm_fleet(names=("w1",))
        host = fleet.hosts["w1"]
        fleet.submit("a", pipelines.stage(lasting=True))
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        host.busy = True
        while task.last_attempt < 2 * starts.ATTEMPTS_PER_EPOCH:
            fleet.step()
        host.busy = False
        fleet.run_for(1)
        host.runner.hung = host.busy = True
        while fleet.running():
            fleet.step()
        fleet.run_for(4)
        fleet.lose_leader()
        host.runner.hung = host.busy = False
        fleet.run_for(1)
        fleet.start_leader()
        fleet.run_for(9)
        assert workers_of(fleet, "a.0.0.0")


class TestSuspectWorkers:
    def test_service_whose_workers_are_all_suspect_is_not_idle(self):
        """Guards against 4 s without starts after failures of some pipelines.

        The only worker of the service is suspect, and has room.
        """
        fleet = calm_fleet(names=("w1",))
        fleet.hosts["w1"].failing = True
        for number in range(3):
            fleet.submit(f"p{number}")
        fleet.run_for(1.2)
        fleet.hosts["w1"].failing = False
        (worker,) = fleet.scheduler.workers.values()
        assert worker.suspect_until_s > fleet.now + IDLE_S
        fleet.submit("a")
        fleet.run_for(1)
        assert not any(task == "a.0.0.0" for _, task, _ in fleet.started)
        fleet.run_for(IDLE_S - 1)
        assert any(task == "a.0.0.0" for _, task, _ in fleet.started)


class TestFillers:
    @pytest.mark.parametrize(
        "fields",
        [
            {"queue": "recast"},
            {"queue": "advised"},
            {"queue": "recast", "first_run_ms": 1, "interval_ms": 1},
        ],
        ids=["in time", "advised", "timed"],
    )
    def test_pipeline_is_not_idle_while_its_pace_would_be_low(self, fields):
        """Guards against a filler that nothing but its pace holds back.

        It slows the only service much; less than half of the room is used.
        """
        fleet = calm_fleet(names=("w1",))
        serving = pipelines.stage(
            lasting=True, image="s1", latency_target_ms=50.0
        )
        fleet.submit("service", serving)
        fleet.run_for(4)
        fleet.submit(
            "first",
            pipelines.stage(1, 1000, estimate_ms=6000, filler=True, image="f2"),
        )
        fleet.run_for(10)
        name = next(
            name
            for name in map("p{}".format, range(100))
            if faultfleet.approves(f"{name}.0.0", "w1")
        )
        # What the first one does to the service is known by now.
        filler = pipelines.stage(
            1, 1000, estimate_ms=60_000, filler=True, image="f2"
        )
        fleet.submit(name, filler, **fields)
        fleet.run_for(IDLE_S + 1)
        assert workers_of(fleet, f"{name}.0.0.0")

    @pytest.mark.parametrize("fault", ["lost", "unanswered"])
    def test_attempt_on_a_silent_worker_hides_no_other_task(self, fault):
        """Guards against a pipeline that counts as running, but does not.

        Its other task fits only where its pace would be low.
        """
        fleet = calm_fleet()
        service = pipelines.stage(
            lasting=True, image="s1", latency_target_ms=50.0, label="a"
        )
        fleet.submit("service", service)
        fleet.run_for(4)
        learned = pipelines.stage(
            1, 1000, estimate_ms=6000, filler=True, image="f2", label="a"
        )
        fleet.submit("first", learned)
        fleet.run_for(10)
        if fault == "unanswered":
            fleet.hosts["w2"].agent.orders_lost = True
        filler = pipelines.stage(
            2, 6000, estimate_ms=60_000, filler=True, image="f2"
        )
        fleet.submit("p", filler)
        fleet.run_for(1)
        if fault == "lost":
            assert workers_of(fleet, "p.0.0.0") == ["w2"]
            fleet.lose_agent(fleet.hosts["w2"].agent)
        fleet.run_for(IDLE_S)
        assert any(task.startswith("p.") for task, _ in fleet.running())

    def test_pipeline_that_needs_advice_is_not_idle_beside_other_fillers(self):
        """Guards against tickets that are asked only for unused time."""
        fleet = calm_fleet(names=("w1",))
        filler = pipelines.stage(1, 8000, estimate_ms=60_000, filler=True)
        fleet.submit("first", filler)
        fleet.run_for(1)
        name = next(
            name
            for name in map("p{}".format, range(100))
            if faultfleet.approves(f"{name}.0.0", "w1")
        )
        fleet.submit(name, filler, queue="advised")
        fleet.run_for(IDLE_S)
        assert workers_of(fleet, f"{name}.0.0.0")


class TestLostWithTheLeader:
    def test_task_of_a_worker_lost_with_the_leader_starts_in_time(self):
        """Guards against adding the leader's lease to those of the worker.

        One machine, or one zone, takes both with it.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(4)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        fleet.lose_leader()
        fleet.run_for(faultfleet.LEADER_LEASE_S)
        fleet.start_leader()
        fleet.run_for(AFTER_RUN_S + IDLE_S - faultfleet.LEADER_LEASE_S)
        assert workers_of(fleet, "a.0.0.0")

    @pytest.mark.parametrize("delay_s", [0.5, 1.0, 1.5])
    def test_leader_lost_soon_after_a_worker_does_not_begin_its_wait(
        self, delay_s
    ):
        """Guards against leases that count from the leader's last renewal.

        The worker got none since its loss, but is not listed as silent yet.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(4)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        fleet.run_for(delay_s)
        fleet.lose_leader()
        fleet.run_for(faultfleet.LEADER_LEASE_S)
        fleet.start_leader()
        fleet.run_for(
            AFTER_RUN_S + IDLE_S - faultfleet.LEADER_LEASE_S - delay_s
        )
        assert workers_of(fleet, "a.0.0.0")

    def test_first_start_on_a_host_lost_with_the_leader_is_made_up_in_time(
        self,
    ):
        """Guards against waiting for leases of a worker that never ran a task.

        Its record is stored, and its start may have arrived.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        watch = Watch(fleet)
        fleet.submit("a", pipelines.stage(lasting=True))
        task = fleet.scheduler.registry.find_task("a.0.0.0")
        while not task.placed_on:
            watch.step()
        ((name, _),) = task.placed_on
        fleet.lose_agent(fleet.hosts[name].agent)
        fleet.lose_leader()
        watch.disturb()
        for step in range(steps_in(AFTER_RUN_S + 2 * IDLE_S)):
            if step == steps_in(faultfleet.LEADER_LEASE_S):
                fleet.start_leader()
            watch.step()
        assert not watch.violations

    def test_leaders_that_are_lost_at_once_do_not_add_their_waits(self):
        """Guards against a wait that each of several leaders begins anew.

        None of them leads for long enough to list the silent worker.
        """
        fleet = calm_fleet(names=("w1", "w2", "w3"))
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(4)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.lose_agent(fleet.hosts[name].agent)
        for _ in range(3):
            fleet.lose_leader()
            fleet.run_for(1.8)
            fleet.start_leader()
            fleet.run_for(0.4)
        fleet.run_for(CALM_S - 1.8 - 0.4)
        assert workers_of(fleet, "a.0.0.0")


class TestRestartedAgent:
    @pytest.mark.parametrize("lasting", [True, False])
    def test_worker_without_heartbeat_holds_up_no_task(self, lasting):
        """Guards against LOST: a worker that refuses each start is preferred.

        An agent starts nothing before it has heard of the worker's capacity.
        """
        fleet = calm_fleet()
        fleet.submit("a", pipelines.stage(3, lasting=True))
        fleet.run_for(3)
        ((busiest, _),) = collections.Counter(
            host for _, host in fleet.running()
        ).most_common(1)
        (host,) = [h for h in fleet.hosts.values() if h.name != busiest]
        fleet.stop_agent(host.agent)
        host.mute = True
        fleet.return_agent(host.agent)
        fleet.run_for(0.5)
        stage = pipelines.stage(2, lasting=lasting, estimate_ms=60_000)
        fleet.submit("b", stage)
        fleet.run_for(IDLE_S)
        assert workers_of(fleet, "b.0.0.0") == [busiest]
        assert workers_of(fleet, "b.0.0.1") == [busiest]
        host.mute = False
        fleet.submit("c", pipelines.stage(8, lasting=lasting))
        fleet.run_for(IDLE_S)
        assert host.name in {name for _, name in fleet.running()}

    def test_silent_worker_counts_until_its_leases_lapsed(self):
        """Guards against a second run while the first has a lease.

        The agent restarts and does not reach the worker, so that it drops it
        after `DISCOVERY_S`; the next leader then waits for nobody.
        """
        fleet = calm_fleet()
        fleet.submit("a", pipelines.stage(lasting=True))
        fleet.run_for(3)
        (name,) = workers_of(fleet, "a.0.0.0")
        fleet.hosts[name].unreachable = True
        fleet.stop_agent(fleet.hosts[name].agent)
        fleet.step()
        fleet.return_agent(fleet.hosts[name].agent)
        fleet.lose_leader()
        fleet.run_for(1.8)
        fleet.start_leader()
        watch = Watch(fleet)
        for _ in range(100):
            watch.step()
        assert not watch.violations
