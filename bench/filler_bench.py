"""What filler pipelines earn beside serving tasks, and what they could earn.

Runs the leader's scheduler over simulated workers in one process and in
simulated time. Serving tasks fill most of the workers, their load swings within
seconds, and most pairs of images disturb each other. Prints the share of the
benefit that filler pipelines earn with

- `learned`: the contention model as a leader runs it;
- `known`: the true pressures, known from the start;
- `undisturbed`: no filler disturbs any service, an upper bound.
"""

import argparse
import math
import random
import statistics
import sys

import attrs

from pomelostair import contention
from pomelostair import metrics
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinescheduler
from pomelostair import queues
from pomelostair import resources

STEP_S = 0.1
REPORT_STEPS = 3
LEASE_S = 7.9
STOP_S = 0.5
RESTORE_S = 0.25
CHECKPOINT_S = 1.0
# Time constant with which reported latencies follow the actual ones.
LATENCY_LAG_S = 0.35
# Standard deviation of the logarithm of a reported latency.
LATENCY_NOISE = 0.12
# Variance of a pressure that is known from the start.
KNOWN_VARIANCE = 1e-6
UNLOADED_MS = 4.0
TARGET_MS = 18.0
LOAD = 0.42
LOAD_SWING = 0.5
SWING_PERIOD_S = 10.0
HEAVY_SHARE = 0.65
HEAVY_PRESSURE = 5.0
LIGHT_PRESSURE = 0.3
SERVING_IMAGES = 10
FILLER_IMAGES = 18
# Share of its request that a serving task uses, per unit of its load.
SERVING_USE = 1.0
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
ESTIMATE_SPREAD = 0.5
STRETCH = 2.0
OBJECTIVE_S = 1.0
LATE_FACTOR = 3.0
LATE_BENEFIT = 0.15
FILLER_QUEUE = queues.Queue(
    "filler", "a.example", "/f/", "service", 2, 4, STRETCH, 1000
)
SERVING_QUEUE = queues.Queue(
    "serving", "a.example", "/s/", "service", 0, 3, 2.2, 2500
)
TABLE = queues.QueueTable(1, (FILLER_QUEUE, SERVING_QUEUE))


@attrs.define(eq=False)
class _Run:
    """A running attempt.

    Attributes:
        task: Id of the task.
        attempt: Number of the attempt.
        stage: Stage of the task.
        work_s: Its work at full pace.
        done_s: Work that is done.
        pace: Share of full pace.
        restoring_s: Time until it resumes from a checkpoint.
        phase: Offset of its load's swing, in radians.
        latency_ms: Reported tail latency of a serving task.
        rate: Speed in the last step.
        stops_s: Simulated time at which it stops, infinite if it does not.
    """

    task: str
    attempt: int
    stage: pipeline.Stage
    work_s: float
    done_s: float = 0.0
    pace: float = 1.0
    restoring_s: float = 0.0
    phase: float = 0.0
    latency_ms: float = UNLOADED_MS
    rate: float = 1.0
    stops_s: float = math.inf


@attrs.define(eq=False)
class _Host:
    """A simulated worker.

    Attributes:
        number: Its number.
        capacity: Its resources.
        runs: Running attempts, by task and attempt.
        ended: Ends that are not acknowledged.
        ends: Number of the last end.
        received: Number of the last order.
    """

    number: int
    capacity: resources.Resources
    runs: dict[tuple[str, int], _Run] = attrs.field(factory=dict)
    ended: list[messages.EndedRow] = attrs.field(factory=list)
    ends: int = 0
    received: int = 0


class World:
    """Workers, services and filler pipelines, and the scheduler over them.

    Args:
        seed: Seed of everything random.
        workers: Number of workers.
        serving_share: Share of the capacity that serving tasks request.
        filler_share: Share of the capacity that fillers ask for on average.
        pressures: `learned`, `known` or `undisturbed`.
    """

    def __init__(
        self,
        seed: int,
        workers: int,
        serving_share: float,
        filler_share: float,
        pressures: str,
    ):
        self._random = random.Random(seed)
        self._noise_random = random.Random(seed + 1)
        self._now = 100.0
        self._hosts = [
            _Host(
                n,
                resources.Resources(
                    int(32_000 * self._random.choice((1.0, 1.0, 1.5))), 128_000
                ),
            )
            for n in range(workers)
        ]
        self._pressures = {
            (f"s{s}", f"f{f}"): (
                HEAVY_PRESSURE * self._random.uniform(0.6, 1.4)
                if self._random.random() < HEAVY_SHARE
                else LIGHT_PRESSURE * self._random.random()
            )
            * (pressures != "undisturbed")
            for s in range(SERVING_IMAGES)
            for f in range(FILLER_IMAGES)
        }
        self._millicores = sum(h.capacity.millicores for h in self._hosts)
        self._filler_share = filler_share
        self._works: dict[str, dict[str, float]] = {}
        self._checkpoints: dict[str, float] = {}
        self._submitted_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._harm_s = 0.0
        self._moves = 0
        self._starts = 0
        self._scheduler = pipelinescheduler.PipelineScheduler(
            1, 0, metrics.Metrics(), lambda: self._now * 1000, LEASE_S
        )
        self._scheduler.set_queues(TABLE)
        if pressures == "known":
            self._reveal_pressures()
        for _ in range(3):
            self._report_all()
            self._commit()
        self._submit_services(serving_share)

    def run(self, seconds: float, submit_s: float) -> None:
        """Plays a time.

        Args:
            seconds: Length.
            submit_s: Time for which pipelines are submitted.
        """
        begun_s = self._now
        owed_millicore_s = 0.0
        step = 0
        while self._now < begun_s + seconds:
            self._now += STEP_S
            step += 1
            if 8.0 < self._now - begun_s < submit_s:
                owed_millicore_s += (
                    self._filler_share * self._millicores * STEP_S
                )
                while owed_millicore_s > 0:
                    owed_millicore_s -= self._submit_fillers()
            for host in self._hosts:
                self._advance(host)
                if (step + host.number) % REPORT_STEPS == 0:
                    self._report(host)
            self._scheduler.run_round(self._now)
            for worker in list(self._scheduler.workers.values()):
                host = self._hosts[int(worker.id)]
                for order in self._scheduler.orders_to_send(worker, self._now):
                    host.received = order.number
                    self._execute(host, order)
            self._commit()

    def results(self) -> dict[str, float]:
        """Returns the earned share of the benefit and what was wasted."""
        owed = earned = 0.0
        in_time = 0
        for name, submitted_s in self._submitted_s.items():
            weight = sum(self._works[name].values())
            owed += weight
            if name not in self._ended_s:
                continue
            took_s = self._ended_s[name] - submitted_s
            objective_s = self._chain_s(name) * STRETCH + OBJECTIVE_S
            if took_s <= objective_s:
                earned += weight
                in_time += 1
            elif took_s <= objective_s * LATE_FACTOR:
                earned += weight * LATE_BENEFIT
        return {
            "earned": earned / owed,
            "in time": in_time / len(self._submitted_s),
            "over target s": self._harm_s,
            "moves": self._moves,
            "starts": self._starts,
        }

    def _chain_s(self, name: str) -> float:
        """Returns the longest chain of work of a pipeline."""
        longest: dict[str, float] = {}
        for task, work_s in self._works[name].items():
            number = task.split(".")[2]
            longest[number] = max(longest.get(number, 0.0), work_s)
        return sum(longest.values())

    def _submit(self, declared: pipeline.Declaration) -> None:
        self._scheduler.registry.add(
            declared, 1, pipeline.Progress(), self._now
        )

    def _submit_services(self, share: float) -> None:
        requested = 0.0
        number = 0
        while requested < share * self._millicores:
            millicores = int(
                1000 * min(10, self._random.lognormvariate(1.83, 0.25))
            )
            count = self._random.randint(9, 22)
            stage = pipeline.Stage(
                count,
                resources.Resources(millicores, 13_000),
                lasting=True,
                image=f"s{number % SERVING_IMAGES}",
                latency_target_ms=TARGET_MS,
                most_per_worker=self._random.choice((0, 1)),
            )
            name = f"service{number}"
            self._submit(
                pipeline.Declaration(
                    name, "serving", "", (stage,), int(self._now * 1000)
                )
            )
            requested += count * millicores
            number += 1

    def _submit_fillers(self) -> float:
        """Submits a pipeline; returns its work in millicore-seconds."""
        draw = self._random
        name = f"{draw.getrandbits(64):016x}"
        stages = []
        total = 0.0
        works = {}
        image = f"f{draw.randrange(FILLER_IMAGES)}"
        for number in range(draw.choice((1, 2, 2, 3))):
            count = max(1, min(80, int(draw.lognormvariate(2.82, 0.6))))
            millicores = int(1000 * min(7, draw.lognormvariate(1.2, 0.3)))
            mean_s = draw.lognormvariate(0.9, 0.5)
            for index in range(count):
                work_s = mean_s * draw.uniform(0.7, 1.3)
                if draw.random() < TAIL_SHARE:
                    work_s *= TAIL_FACTOR
                works[f"{name}.0.{number}.{index}"] = work_s
                total += work_s * millicores
            estimate_s = mean_s * draw.lognormvariate(0, ESTIMATE_SPREAD)
            stages.append(
                pipeline.Stage(
                    count,
                    resources.Resources(millicores, 6_400),
                    estimate_ms=int(1000 * estimate_s),
                    after=(number - 1,) if number else (),
                    checkpointing=True,
                    image=image,
                    filler=True,
                )
            )
        self._works[name] = works
        self._submitted_s[name] = self._now
        self._submit(
            pipeline.Declaration(
                name, "filler", "", tuple(stages), int(self._now * 1000)
            )
        )
        return total

    def _advance(self, host: _Host) -> None:
        """Lets a step pass on a worker."""
        fillers = []
        serving = []
        for run in host.runs.values():
            (fillers if run.stage.filler else serving).append(run)
        loads = {id(run): self._load(run) for run in serving}
        unused = host.capacity.millicores - sum(
            run.stage.demand.millicores * loads[id(run)] * SERVING_USE
            for run in serving
        )
        wanted = sum(r.stage.demand.millicores * r.pace for r in fillers)
        speed = min(1.0, max(0.0, unused) / wanted) if wanted else 1.0
        for run in fillers:
            run.rate = run.pace * speed
        for run in serving:
            self._advance_serving(host, run, fillers, loads[id(run)])
        for run in fillers:
            run.restoring_s -= STEP_S
            if run.restoring_s <= 0:
                run.done_s += run.rate * STEP_S
            if run.done_s >= run.work_s:
                self._end(host, run, pipeline.End.DONE)
        for run in list(host.runs.values()):
            if run.stops_s <= self._now:
                self._checkpoints[run.task] = run.done_s
                self._end(host, run, pipeline.End.STOPPED)

    def _load(self, run: _Run) -> float:
        angle = 2 * math.pi * self._now / SWING_PERIOD_S + run.phase
        return LOAD * (1 + LOAD_SWING * math.sin(angle))

    def _advance_serving(
        self, host: _Host, run: _Run, fillers: list[_Run], load: float
    ) -> None:
        growth = 1 + sum(
            self._pressures[run.stage.image, filler.stage.image]
            * filler.rate
            * filler.stage.demand.millicores
            / host.capacity.millicores
            for filler in fillers
        )
        actual_ms = UNLOADED_MS / max(0.02, 1 - load * growth)
        run.latency_ms += (actual_ms - run.latency_ms) * (
            1 - math.exp(-STEP_S / LATENCY_LAG_S)
        )
        if run.latency_ms > TARGET_MS:
            self._harm_s += STEP_S

    def _end(self, host: _Host, run: _Run, end: pipeline.End) -> None:
        del host.runs[run.task, run.attempt]
        host.ends += 1
        host.ended.append(
            (host.ends, run.task, run.attempt, end, run.task)
            if end is pipeline.End.STOPPED
            else (host.ends, run.task, run.attempt, end, "")
        )

    def _execute(self, host: _Host, order: messages.Order) -> None:
        run = host.runs.get((order.task, order.attempt))
        match order.kind:
            case messages.START:
                self._start(host, order)
            case messages.STOP if run is not None:
                run.stops_s = min(run.stops_s, self._now + STOP_S)
                self._moves += 1
            case messages.PACE if run is not None:
                run.pace = order.percent / 100

    def _start(self, host: _Host, order: messages.Order) -> None:
        task = self._scheduler.registry.find_task(order.task)
        name = order.task.partition(".")[0]
        run = _Run(
            order.task,
            order.attempt,
            task.stage,
            self._works.get(name, {}).get(order.task, math.inf),
            pace=order.percent / 100,
            phase=self._random.uniform(0, 2 * math.pi),
        )
        if order.checkpoint:
            run.done_s = self._checkpoints.get(order.task, 0.0)
            run.restoring_s = RESTORE_S
        self._starts += 1
        host.runs[order.task, order.attempt] = run

    def _noise(self) -> float:
        return self._noise_random.lognormvariate(0, LATENCY_NOISE)

    def _report_all(self) -> None:
        for host in self._hosts:
            self._report(host)

    def _report(self, host: _Host) -> None:
        name = str(host.number)
        state = messages.WorkerState(
            worker=name,
            life=1,
            service="service",
            rack="r1",
            labels=("a", "r1"),
            capacity=host.capacity,
            draining=False,
            remaining_ms=0,
            clock_ms=int(self._now * 1000),
            running=tuple(
                (
                    run.task,
                    run.attempt,
                    "",
                    100.0
                    if run.stage.lasting
                    else int(100 * run.done_s / run.work_s),
                    run.latency_ms * self._noise()
                    if run.stage.lasting
                    else run.rate * run.stage.demand.millicores,
                )
                for run in host.runs.values()
            ),
            ended=tuple(host.ended),
            more_ended=False,
            results=(),
            received=host.received,
            fresh=True,
            reachable=True,
            lapsed=False,
        )
        report = messages.AgentReport(
            f"agent-{name}",
            1,
            int(self._now * 10) + 1,
            True,
            ((name, 1),),
            (state,),
        )
        for worker in self._scheduler.apply_report(
            report, "bus", "life", self._now
        ):
            worker.lease_granted_s = self._now

    def _reveal_pressures(self) -> None:
        """Gives the scheduler the true pressures, as its predecessor would."""
        self._scheduler.contention.adopt(
            contention.Learned(
                tuple(
                    (image, filler_image, pressure, KNOWN_VARIANCE)
                    for (image, filler_image), pressure in (
                        self._pressures.items()
                    )
                )
            ),
            self._now,
        )

    def _commit(self) -> None:
        while self._scheduler.has_uncommitted:
            batch = self._scheduler.next_batch()
            for name, progress in batch.progress.items():
                if progress.phase is pipeline.Phase.COMPLETED:
                    self._ended_s.setdefault(name, self._now)
            for worker in self._scheduler.confirm(batch):
                host = self._hosts[int(worker.id)]
                host.ended = [
                    row
                    for row in host.ended
                    if row[0] > worker.acknowledged_end
                ]


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=51)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--serving", type=float, default=0.7)
    parser.add_argument("--fillers", type=float, default=0.25)
    parser.add_argument("--pressures", default="learned,known,undisturbed")
    parser.add_argument("--seconds", type=float, default=60)
    options = parser.parse_args()
    for pressures in options.pressures.split(","):
        rows = []
        for seed in map(int, options.seeds.split(",")):
            world = World(
                seed,
                options.workers,
                options.serving,
                options.fillers,
                pressures,
            )
            world.run(options.seconds, options.seconds - 18)
            rows.append(world.results())
        for key in rows[0]:
            values = [row[key] for row in rows]
            sys.stdout.write(
                f"{pressures:12s} {key:14s} {statistics.mean(values):10.3f}  "
                + " ".join(f"{value:9.3f}" for value in values)
                + "\n"
            )


if __name__ == "__main__":
    main()
