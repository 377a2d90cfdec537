"""Choice of the tasks that yield on a worker to a more urgent one."""

from pomelostair import cell as cell_module
from pomelostair import eviction
from pomelostair import ledger
from pomelostair import messages
from pomelostair import placement
from pomelostair import survey as survey_module
from pomelostair import termstate

MAX_NOISY = 8


def victims(
    given: survey_module.Round,
    survey: survey_module.Survey,
    term: termstate.TermState,
    request: placement.Request,
    host: placement.Host,
) -> tuple[eviction.Candidate, ...] | None:
    """Returns the tasks of one worker that would yield, None if none help.

    Args:
        given: What the round decides from.
        survey: What the round found.
        term: Memory of the leader's term.
        request: What the more urgent task asks of its placement.
        host: The worker.
    """
    running = survey.running.get(host.account.worker, [])
    free = host.account.free
    for task in running:
        if (task.id, task.attempt) in term.evictions:
            free = ledger.add(free, survey.held(task))
    yielding = [
        task
        for task in running
        if survey.urgency(task) > messages.Urgency.URGENT
        and term.protected_until_s.get(task.id, 0.0) <= given.now
    ]
    candidates = survey.candidates(yielding)
    noisy = _noisy(given, term, request, host, candidates)
    if noisy is None:
        return None
    for candidate in noisy:
        free = ledger.add(free, candidate.size)
    quiet = [c for c in candidates if c not in noisy]
    chosen = eviction.choose(request.size, free, quiet)
    return None if chosen is None else (*noisy, *chosen)


def _noisy(
    given: survey_module.Round,
    term: termstate.TermState,
    request: placement.Request,
    host: placement.Host,
    candidates: list[eviction.Candidate],
) -> tuple[eviction.Candidate, ...] | None:
    """Returns who must leave so that a latency-critical task is calm."""
    if not request.critical:
        return ()
    loads = host.loads()
    cores = host.account.capacity.cores
    tasks: dict[str, cell_module.Task] = given.state.tasks
    kinds = {c.task: tasks[c.task].spec.kind for c in candidates}
    harm = {
        c.task: c.size.cores
        * term.interference.factor(request.kind, kinds[c.task], given.now)
        for c in candidates
    }
    chosen: list[eviction.Candidate] = []
    for candidate in sorted(candidates, key=lambda c: -harm[c.task]):
        slowdown = term.interference.slowdown(request.kind, loads, given.now)
        if slowdown <= placement.CRITICAL_START_LIMIT:
            return tuple(chosen)
        if len(chosen) >= MAX_NOISY or harm[candidate.task] <= 0:
            return None
        chosen.append(candidate)
        loads[kinds[candidate.task]] -= candidate.size.cores / cores
    return tuple(chosen)
