"""Limits that prevent a waiting task from starting, and their reasons."""

from pomelostair import accounting
from pomelostair import cell as cell_module
from pomelostair import cellview
from pomelostair import messages
from pomelostair import placement
from pomelostair import stopplan


def limit_reason(
    inputs: cellview.RoundInputs,
    view: cellview.CellView,
    task: cell_module.Task,
    request: placement.Request,
) -> str:
    """Returns why a task may not start now, empty if no limit applies.

    Args:
        inputs: State and limits that the round is based on.
        view: Workers and resource usage in this round.
        task: The waiting task.
        request: Placement request of the task.
    """
    refusal = _too_large_for_all(
        inputs, request
    ) or stopplan.start_refusal_reason(
        inputs.stop_state,
        request.size.cores,
        sum(view.team_cores.values()),
        view.capacity_cores(),
    )
    if refusal or request.urgency is not messages.Urgency.BATCH:
        return refusal
    return _team_quota_exceeded(inputs, view, task) or _batch_share_exceeded(
        inputs, view, request
    )


def _too_large_for_all(
    inputs: cellview.RoundInputs, request: placement.Request
) -> str:
    capacities = [
        worker.heartbeat.capacity for worker in inputs.workers.values()
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


def _team_quota_exceeded(
    inputs: cellview.RoundInputs,
    view: cellview.CellView,
    task: cell_module.Task,
) -> str:
    name = task.spec.team
    team = next((t for t in inputs.declarations.teams if t.name == name), None)
    if team is None:
        return ""
    batch_usage = accounting.add(view.team_batch_size(name), task.spec.size)
    for resource in ("cores", "memory_mb", "accelerators"):
        quota = getattr(team, resource)
        if quota is not None and getattr(batch_usage, resource) > quota:
            return f"team {name} is at its quota of {quota:g} {resource}"
    return ""


def _batch_share_exceeded(
    inputs: cellview.RoundInputs,
    view: cellview.CellView,
    request: placement.Request,
) -> str:
    share = inputs.declarations.limits.batch_share
    if share >= 1:
        return ""
    batch_cores = view.batch_cores + request.size.cores
    if batch_cores <= share * view.capacity_cores():
        return ""
    return "batch tasks use their whole share of the cell; the task waits"
