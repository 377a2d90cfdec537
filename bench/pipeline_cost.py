"""Cost of the pipelines' leader: reports, rounds and a task's whole life.

Runs the leader's scheduler over simulated workers in one process. Prints
processor time by the number of workers; nothing here waits or sends.
"""

import argparse
import sys
import time

from pomelostair import metrics
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelinescheduler
from pomelostair import queues
from pomelostair import resources

LEASE_S = 7.9
TASKS_PER_WORKER = 12
STAGE = pipeline.Stage(
    TASKS_PER_WORKER, resources.Resources(500, 1000), estimate_ms=1000
)
TABLE = queues.QueueTable(
    1, (queues.Queue("q", "a.example", "/q/", "service", 0, 2, 2.0, 250),)
)


class Bench:
    """A leader's scheduler and its workers.

    Args:
        workers: Number of workers.
    """

    def __init__(self, workers: int):
        self._now = 100.0
        self._workers = workers
        self._ends = [0] * workers
        self._ended: list[list[messages.EndedRow]] = [
            [] for _ in range(workers)
        ]
        self._running: list[dict[tuple[str, int], None]] = [
            {} for _ in range(workers)
        ]
        self._received = [0] * workers
        self._scheduler = pipelinescheduler.PipelineScheduler(
            1, 0, metrics.Metrics(), lambda: self._now * 1000, LEASE_S
        )
        self._scheduler.set_queues(TABLE)
        for _ in range(3):
            self.report_all()
            self.commit()

    @property
    def waiting(self) -> bool:
        """Whether any task waits for a worker."""
        items = self._scheduler.registry.pipelines.values()
        return any(item.ready for item in items)

    def submit(self, count: int) -> None:
        """Accepts as many pipelines as there are workers."""
        for number in range(count):
            declared = pipeline.Declaration(
                f"{self._now:.3f}-{number}".replace(".", "-"),
                "q",
                "payload",
                (STAGE,),
                int(self._now * 1000),
            )
            self._scheduler.registry.add(
                declared, 1, pipeline.Progress(), self._now
            )

    def report_all(self) -> float:
        """Takes in a report of each worker; returns the processor seconds."""
        reports = [self._report(number) for number in range(self._workers)]
        begun = time.process_time()
        for report in reports:
            for worker in self._scheduler.apply_report(
                report, "bus", "life", self._now
            ):
                worker.lease_granted_s = self._now
        return time.process_time() - begun

    def round(self) -> float:
        """Decides and hands orders out; returns the processor seconds."""
        begun = time.process_time()
        self._scheduler.run_round(self._now)
        given = [
            (worker, self._scheduler.orders_to_send(worker, self._now))
            for worker in self._scheduler.workers.values()
        ]
        took = time.process_time() - begun
        for worker, orders in given:
            number = int(worker.id)
            for order in orders:
                self._received[number] = order.number
                if order.kind == messages.START:
                    self._running[number][order.task, order.attempt] = None
        return took

    def commit(self) -> float:
        """Takes a batch and confirms it; returns the processor seconds."""
        begun = time.process_time()
        while self._scheduler.has_uncommitted:
            batch = self._scheduler.next_batch()
            for worker in self._scheduler.confirm(batch):
                number = int(worker.id)
                self._ended[number] = [
                    row
                    for row in self._ended[number]
                    if row[0] > worker.acknowledged_end
                ]
        return time.process_time() - begun

    def finish_all(self) -> int:
        """Ends everything that runs; returns how much that was."""
        count = 0
        for number, running in enumerate(self._running):
            for task, attempt in running:
                self._ends[number] += 1
                self._ended[number].append(
                    (self._ends[number], task, attempt, pipeline.End.DONE, "")
                )
                count += 1
            running.clear()
        return count

    def step(self) -> None:
        """Lets a report's interval pass."""
        self._now += 0.3

    def _report(self, number: int) -> messages.AgentReport:
        state = messages.WorkerState(
            worker=str(number),
            life=1,
            service="service",
            rack="r1",
            labels=("a", "r1"),
            capacity=resources.Resources(32_000, 128_000),
            draining=False,
            remaining_ms=0,
            clock_ms=int(self._now * 1000),
            running=tuple(
                (task, attempt, "", 50.0, 480.0)
                for task, attempt in self._running[number]
            ),
            ended=tuple(self._ended[number]),
            more_ended=False,
            results=(),
            received=self._received[number],
            fresh=True,
            reachable=True,
            lapsed=False,
        )
        return messages.AgentReport(
            f"agent-{number}",
            1,
            int(self._now * 10),
            True,
            ((str(number), 1),),
            (state,),
        )


def measure(workers: int, rounds: int) -> str:
    """Returns a row of the table for a number of workers."""
    bench = Bench(workers)
    placing = reporting = committing = idle = 0.0
    tasks = 0
    for _ in range(rounds):
        bench.step()
        bench.submit(workers)
        while bench.waiting:
            placing += bench.round()
        bench.step()
        reporting += bench.report_all()
        idle += bench.round()
        tasks += bench.finish_all()
        bench.step()
        reporting += bench.report_all()
        committing += bench.commit()
    life_us = (placing + reporting + committing) / max(1, tasks) * 1e6
    return (
        f"{workers:7d} {placing / max(1, tasks) * 1e6:12.0f} "
        f"{reporting / rounds / workers / 2 * 1e6:12.0f} "
        f"{idle / rounds * 1e3:12.2f} {life_us:12.0f}"
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", default="11,70,300,1000")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    sys.stdout.write(
        "workers placement us    report us idle round ms task's life us\n"
    )
    for workers in map(int, options.workers.split(",")):
        sys.stdout.write(measure(workers, options.rounds) + "\n")


if __name__ == "__main__":
    main()
