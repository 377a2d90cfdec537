"""Whether a job that is submitted may be accepted."""

import attrs

from pomelostair import declaration
from pomelostair import messages
from pomelostair import outcome

MAX_TASKS_HELD = 200_000


@attrs.frozen
class Load:
    """What a cell holds already.

    Attributes:
        tasks: Tasks in its state, ended ones until they are forgotten.
    """

    tasks: int


def check(
    spec: messages.JobSpec, load: Load, declarations: declaration.Declarations
) -> outcome.Refused | None:
    """Returns why a job is refused, None if it may be accepted.

    Args:
        spec: The job.
        load: What the cell holds.
        declarations: Declarations in force.
    """
    if load.tasks + spec.tasks > MAX_TASKS_HELD:
        return outcome.Refused(
            outcome.Kind.QUEUE_FULL,
            f"submit later; the cell holds {load.tasks} tasks and takes "
            f"{MAX_TASKS_HELD}",
        )
    for team in declarations.teams:
        if team.name == spec.team and _is_over_quota(spec.size, team):
            return outcome.Refused(
                outcome.Kind.QUOTA,
                f"lower the size or raise the quota of team {team.name}; one "
                "task alone exceeds it",
            )
    return None


def _is_over_quota(size: messages.Size, team: declaration.Team) -> bool:
    limits = (
        (size.cores, team.cores),
        (size.memory_mb, team.memory_mb),
        (size.accelerators, team.accelerators),
    )
    return any(limit is not None and used > limit for used, limit in limits)
