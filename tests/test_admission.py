import pytest

from pomelostair import admission
from pomelostair import declaration
from pomelostair import messages
from pomelostair import outcome

TEAM = declaration.Team("agency", cores=4.0, memory_mb=1000, accelerators=0)
DECLARED = declaration.Declarations(teams=(TEAM,))


def _check(size=None, stored_tasks=0, team="agency", tasks=1):
    spec = messages.JobSpec(
        "a", "netting", team, tasks=tasks, size=size or messages.Size()
    )
    return admission.check(spec, admission.CellLoad(stored_tasks), DECLARED)


class TestCheck:
    def test_job_within_its_quota_is_accepted(self):
        assert _check(messages.Size(4.0, 1000, 0), tasks=50) is None

    @pytest.mark.parametrize(
        "size",
        [
            messages.Size(4.1, 100, 0),
            messages.Size(1.0, 1001, 0),
            messages.Size(1.0, 100, 1),
        ],
    )
    def test_job_whose_single_task_exceeds_the_quota_is_refused(self, size):
        refused = _check(size)
        assert refused.kind is outcome.Kind.QUOTA
        assert refused.ran is outcome.Ran.NO
        assert _check(size, team="other") is None

    def test_job_over_the_task_limit_of_the_cell_is_refused(self):
        limit = admission.MAX_TASKS_PER_CELL
        assert _check(stored_tasks=limit - 1) is None
        assert _check(stored_tasks=limit).kind is outcome.Kind.QUEUE_FULL
