"""Admission control for submitted jobs."""

import attrs

from pomelostair import declaration
from pomelostair import messages
from pomelostair import outcome

MAX_TASKS_PER_CELL = 200_000


@attrs.frozen
class CellLoad:
    """Current load of a cell.

    Attributes:
        tasks: Number of tasks in its state, including ended tasks that are
            not yet removed.
    """

    tasks: int


def check(
    spec: messages.JobSpec,
    load: CellLoad,
    declarations: declaration.Declarations,
) -> outcome.Refused | None:
    """Returns why a job is refused, None if it can be accepted.

    Args:
        spec: The job.
        load: Current load of the cell.
        declarations: Declarations in force.
    """
    if load.tasks + spec.tasks > MAX_TASKS_PER_CELL:
        return outcome.Refused(
            outcome.Kind.QUEUE_FULL,
            f"submit later; the cell has {load.tasks} tasks, its limit is "
            f"{MAX_TASKS_PER_CELL}",
        )
    for team in declarations.teams:
        if team.name == spec.team and _is_over_quota(spec.size, team):
            return outcome.Refused(
                outcome.Kind.QUOTA,
                f"lower the size or raise the quota of team {team.name}; a "
                "single task exceeds it",
            )
    return None


def _is_over_quota(size: messages.Size, team: declaration.Team) -> bool:
    limits = (
        (size.cores, team.cores),
        (size.memory_mb, team.memory_mb),
        (size.accelerators, team.accelerators),
    )
    return any(limit is not None and used > limit for used, limit in limits)
