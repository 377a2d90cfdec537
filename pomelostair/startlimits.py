"""Limits that keep a waiting task from starting, with their reasons."""

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import messages
from pomelostair import placement
from pomelostair import stopplan
from pomelostair import survey as survey_module


def reason(
    given: survey_module.Round,
    survey: survey_module.Survey,
    task: cell_module.Task,
    request: placement.Request,
) -> str:
    """Returns why a task may not start now, empty if nothing forbids it.

    Args:
        given: What the round decides from.
        survey: What the round found.
        task: The waiting task.
        request: What it asks of its placement.
    """
    found = _impossible(given, request) or stopplan.refuses_start(
        given.standing,
        request.size.cores,
        sum(survey.team_cores.values()),
        survey.capacity_cores(),
    )
    if found or request.urgency is not messages.Urgency.BATCH:
        return found
    return _over_quota(given, survey, task) or _over_share(
        given, survey, request
    )


def _impossible(given: survey_module.Round, request: placement.Request) -> str:
    capacities = [
        worker.heartbeat.capacity for worker in given.workers.values()
    ]
    if not capacities:
        return ""
    if any(accounting.fits(request.size, capacity) for capacity in capacities):
        return ""
    size = request.size
    return (
        f"no worker is large enough for {size.cores:g} cores, "
        f"{size.memory_mb} MB and {size.accelerators} accelerators; "
        "declare smaller tasks"
    )


def _over_quota(
    given: survey_module.Round,
    survey: survey_module.Survey,
    task: cell_module.Task,
) -> str:
    name = task.spec.team
    team = next((t for t in given.declarations.teams if t.name == name), None)
    if team is None:
        return ""
    wanted = accounting.add(survey.team_batch(name), task.spec.size)
    for resource in ("cores", "memory_mb", "accelerators"):
        quota = getattr(team, resource)
        if quota is not None and getattr(wanted, resource) > quota:
            return f"team {name} is at its quota of {quota:g} {resource}"
    return ""


def _over_share(
    given: survey_module.Round,
    survey: survey_module.Survey,
    request: placement.Request,
) -> str:
    share = given.declarations.limits.batch_share
    if share >= 1:
        return ""
    wanted = survey.batch_cores + request.size.cores
    if wanted <= share * survey.capacity_cores():
        return ""
    return "batch holds its share of the cell; it waits"
