"""A simulated fleet whose submissions and reports hold boundary values.

Every value is one that the decoders accept.
"""

import random

import attrs

from pomelostair import codec
from pomelostair import pipeline
from pomelostair import pipelinerows
from pomelostair import queues
from pomelostair import resources
from tests import faultfleet
from tests import pipelines
from tests import simfleet

LARGEST = codec.MAX_INTEGER
SMALLEST = 5e-324  # Smallest positive number of type float.
STEPS = 120
PIPELINES = 8
STEPS_PER_PIPELINE = 6
QUEUES = (pipelines.QUEUE, pipelines.URGENT, faultfleet.ADVISED)


class Play:
    """One play, in which agents, workers and leaders are also replaced.

    Args:
        seed: Seed of all that is drawn.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        workers = self.random.choice([1, 2, 3])
        self.fleet = simfleet.Fleet(
            [f"w{n}" for n in range(workers)],
            cores=self.random.choice([8, 8, 8, 0]),
        )
        self.table = queues.QueueTable(1, tuple(map(self._queue, QUEUES)))

    def run(self):
        """Plays it; an exception would end the term of a leader."""
        for host in self.fleet.hosts.values():
            host.runner.lasting = self.random.random() < 0.3
            host.runner.work_ms = self.random.choice([50, 300, 3000])
        for step in range(STEPS):
            self.fleet.scheduler.set_queues(self.table)
            if step % STEPS_PER_PIPELINE == 0 and (
                len(self.fleet.rows) < PIPELINES
            ):
                self._submit(f"p{step}")
            self._disturb()
            self._advise()
            self.fleet.step(0.1 if self.random.random() < 0.9 else 1.0)
            for progress in self.fleet.stored_progress.values():
                pipelinerows.encode_progress(progress)

    def _queue(self, queue):
        choose = self.random.choice
        return attrs.evolve(
            queue,
            priority=choose([queue.priority, LARGEST, -LARGEST]),
            stretch=choose([queue.stretch, 0.0, -1.0, 1e308]),
            objective_ms=choose([queue.objective_ms, 0, LARGEST, -LARGEST]),
            max_attempts=choose([1, 2, 0, -1, LARGEST]),
        )

    def _submit(self, name):
        stages = [
            self._stage(number) for number in range(self.random.choice([1, 3]))
        ]
        fields = {}
        if self.random.random() < 0.3:
            now_ms = int(self.fleet.now * 1000)
            fields = {
                "occurrences": self.random.choice([1, 3, 20]),
                "first_run_ms": self.random.choice([0, 1, now_ms, LARGEST]),
                "interval_ms": self.random.choice([0, 1, 1000, LARGEST]),
            }
        queue = self.random.choice(["recast", "fit", "advised", "unknown"])
        self.fleet.submit(name, *stages, queue=queue, **fields)

    def _stage(self, number):
        choose = self.random.choice
        return pipeline.Stage(
            count=choose([1, 2, 5, 12]),
            demand=resources.Resources(
                choose([0, 0, 1, 500, 8000, 9000, LARGEST]),
                choose([0, 0, 1, 1000, 128_000, LARGEST]),
                choose([0, 0, 0, 1, LARGEST]),
            ),
            estimate_ms=choose([0, 1, 1000, LARGEST]),
            after=tuple(n for n in range(number) if choose([True, False])),
            checkpointing=choose([True, False]),
            gang=choose([True, False, False]),
            same_rack=choose([True, False]),
            label=choose(["", "", "", "a", "missing"]),
            rack=choose(["", "r1", "missing"]),
            most_per_worker=choose([0, 0, 1, LARGEST]),
            speculative=choose([True, False]),
            lasting=choose([True, False]),
            image=choose(["", "i", "j"]),
            latency_target_ms=choose([0.0, 0.0, SMALLEST, 18.0, LARGEST]),
            filler=choose([True, False, False]),
            skippable=choose([0, 1, LARGEST]),
        )

    def _disturb(self):
        host = self.random.choice(list(self.fleet.hosts.values()))
        match self.random.randrange(40):
            case 0:
                host.runner.failing = not host.runner.failing
            case 1 | 2:
                host.runner.crashed = True
            case 3:
                self.fleet.restart_worker(host.name)
            case 4:
                self.fleet.restart_agent(host.name)
            case 5:
                self.fleet.start_leader(self.random.choice([0.0, 2.0, 9.0]))
            case 6:
                cores = self.random.choice([0, 4, 8])
                self.fleet.resize_worker(host.name, cores)
            case 7:
                host.delays_starts = not host.delays_starts
            case 8:
                host.partitioned = not host.partitioned
            case 9 if self.fleet.rows:
                self.fleet.cancel(self.random.choice(list(self.fleet.rows)))
            case 10 | 11 | 12:
                self._distort(host)

    def _distort(self, host):
        """Lets a worker report boundary values of its runs from now on."""
        choose = self.random.choice
        percent = choose([0.0, -5.0, 100.0, 250.0, LARGEST, -LARGEST, SMALLEST])
        load = choose([0.0, -1.0, 18.0, SMALLEST, LARGEST, -LARGEST])
        runner = host.runner
        running_rows = type(runner).running_rows
        runner.running_rows = lambda: [
            (*row[:3], percent, load) for row in running_rows(runner)
        ]

    def _advise(self):
        advice = self.fleet.scheduler.advice
        request = advice.next_request()
        if request is not None and self.random.random() < 0.9:
            tickets = {
                worker: f"ticket-{worker}"
                for worker, _ in request.workers
                if self.random.random() < 0.7
            }
            advice.apply_answer(request, tickets, self.fleet.now)
