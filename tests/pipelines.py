"""Builders of pipelines and workers for tests without a network."""

from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import pipelineplacement
from pomelostair import queues
from pomelostair import resources

QUEUE = queues.Queue(
    name="recast",
    host="recast.example",
    path_prefix="/recast/",
    service="clapper-desk",
    priority=2,
    max_attempts=3,
    stretch=2.0,
    objective_ms=1000,
)
URGENT = queues.Queue(
    name="fit",
    host="fit.example",
    path_prefix="/fit/",
    service="clapper-desk",
    priority=0,
    max_attempts=2,
    stretch=1.5,
    objective_ms=250,
)
TABLE = queues.QueueTable(1, (QUEUE, URGENT))


def stage(count=1, millicores=1000, memory_mb=1000, **fields):
    fields.setdefault("estimate_ms", 1000)
    demand = resources.Resources(millicores, memory_mb)
    return pipeline.Stage(count, demand, **fields)


def declare(name, *stages, queue="recast", submitted_ms=0, **fields):
    return pipeline.Declaration(
        name, queue, "payload", stages or (stage(),), submitted_ms, **fields
    )


def worker_state(worker="w1", life=1, cores=32, **changes):
    fields = {
        "worker": worker,
        "life": life,
        "service": "clapper-desk",
        "rack": "r1",
        "labels": ("a", "r1"),
        "capacity": resources.Resources(cores * 1000, 128_000),
        "draining": False,
        "remaining_ms": 0,
        "clock_ms": 1000,
        "running": (),
        "ended": (),
        "more_ended": False,
        "results": (),
        "received": 0,
        "fresh": True,
        "reachable": True,
        "lapsed": False,
        **changes,
    }
    return messages.WorkerState(**fields)


def worker(name="w1", cores=32, now=0.0, **changes):
    view = fleet.Worker(
        name, 1, f"agent-{name}", "bus", worker_state(name, 1, cores), now, now
    )
    view.registered = view.reconciled = True
    for field, value in changes.items():
        setattr(view, field, value)
    return view


def place(target, task_stage, index=0, attempt=1, now=0.0, **changes):
    """Places a task of a stage on a worker; returns the placement.

    The attempt runs, and its worker has reported it. `changes` sets further
    fields of the placement.
    """
    item = pipeline.Pipeline(
        declare(f"p-{target.id}-{len(target.placements)}", task_stage),
        1,
        pipeline.Progress(),
        now,
    )
    task = item.tasks(0, 0)[index]
    placement = fleet.Placement(task, attempt, target, now)
    placement.state = fleet.AttemptState.RUNNING
    placement.reported = True
    for field, value in changes.items():
        setattr(placement, field, value)
    item.place(task, attempt)
    target.add(placement)
    return placement


def record_comparisons(monkeypatch):
    """Returns a list that grows by one with each worker that is compared."""
    compared = []
    fits = pipelineplacement.fits
    monkeypatch.setattr(
        pipelineplacement,
        "fits",
        lambda *arguments: compared.append(1) or fits(*arguments),
    )
    return compared
