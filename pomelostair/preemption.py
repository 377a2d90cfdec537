"""Selection of the tasks that a more urgent one preempts on a worker."""

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import eviction
from pomelostair import messages
from pomelostair import placement
from pomelostair import termstate

MAX_INTERFERING_VICTIMS = 8


def choose_victims(
    inputs: cellview.RoundInputs,
    view: cellview.CellView,
    term: termstate.TermState,
    request: placement.Request,
    host: placement.Host,
) -> tuple[eviction.Candidate, ...] | None:
    """Returns the tasks to evict from a worker, None if evictions can't help.

    Args:
        inputs: State and limits that the round is based on.
        view: Workers, their tasks and free capacity in this round.
        term: State of the leader's term.
        request: Requirements of the more urgent task.
        host: The worker.
    """
    running = view.tasks_by_worker.get(host.account.worker, [])
    free = host.account.free
    for task in running:
        if (task.id, task.attempt) in term.evictions:
            free = accounting.add(free, view.counted_size(task))
    evictable = [
        task
        for task in running
        if view.urgency(task) > messages.Urgency.URGENT
        and term.protected_until_s.get(task.id, 0.0) <= inputs.now_s
    ]
    candidates = view.candidates(evictable)
    interfering = _interfering_victims(inputs, term, request, host, candidates)
    if interfering is None:
        return None
    for candidate in interfering:
        free = accounting.add(free, candidate.size)
    remaining = [c for c in candidates if c not in interfering]
    chosen = eviction.choose_victims(request.size, free, remaining)
    return None if chosen is None else (*interfering, *chosen)


def _interfering_victims(
    inputs: cellview.RoundInputs,
    term: termstate.TermState,
    request: placement.Request,
    host: placement.Host,
    candidates: list[eviction.Candidate],
) -> tuple[eviction.Candidate, ...] | None:
    """Returns whom to evict so that a latency-critical task is not slowed.

    Returns None if its slowdown can't be brought down to the limit by a
    bounded number of evictions.
    """
    if not request.critical:
        return ()
    core_shares = host.core_shares()
    cores = host.account.capacity.cores
    tasks: dict[str, cell_module.Task] = inputs.state.tasks
    kinds = {c.task: tasks[c.task].spec.kind for c in candidates}
    impact = {
        c.task: c.size.cores
        * term.interference.factor(request.kind, kinds[c.task], inputs.now_s)
        for c in candidates
    }
    chosen: list[eviction.Candidate] = []
    for candidate in sorted(candidates, key=lambda c: -impact[c.task]):
        slowdown = term.interference.slowdown(
            request.kind, core_shares, inputs.now_s
        )
        if slowdown <= placement.CRITICAL_START_SLOWDOWN_LIMIT:
            return tuple(chosen)
        if (
            len(chosen) >= MAX_INTERFERING_VICTIMS
            or impact[candidate.task] <= 0
        ):
            return None
        chosen.append(candidate)
        core_shares[kinds[candidate.task]] -= candidate.size.cores / cores
    return tuple(chosen)
