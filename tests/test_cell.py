from hypothesis import stateful
from hypothesis import strategies

from pomelostair import cell
from pomelostair import messages
from pomelostair import snapshot

JOBS = ("a", "b", "c")
WORKERS = ("w1", "w2")
END = messages.TaskEnd


def state_facts(state):
    """Returns the observable content of a state as plain values."""
    jobs = {
        job.spec.id: (job.state.value, [_task_facts(t) for t in job.tasks])
        for job in state.jobs.values()
    }
    waiting = sorted(task.id for task in state.waiting())
    placed = sorted((t.id, t.worker) for t in state.placed())
    return jobs, waiting, placed, list(state.ended)


def _task_facts(task):
    return (task.state.value, task.attempt, task.worker, task.checkpoint)


class ReferenceModel:
    """Reference model: the same rules over plain dictionaries, no indexes."""

    def __init__(self):
        self.jobs = {}
        self.ended = []

    def submit(self, job, tasks, max_failures):
        if job not in self.jobs:
            rows = [["waiting", 0, "", ""] for _ in range(tasks)]
            self.jobs[job] = ["active", rows, [0] * tasks, max_failures]

    def cancel(self, job):
        if job in self.jobs and self.jobs[job][0] == "active":
            self._end_job(job, "cancelled")

    def place(self, job, index, worker):
        row = self.jobs[job][1][index]
        if row[0] == "waiting":
            row[:3] = "placed", row[1] + 1, worker

    def end(self, job, index, attempt, end, checkpoint):
        state, rows, failures, max_failures = self.jobs[job]
        row = rows[index]
        if row[0] != "placed" or row[1] != attempt:
            return
        row[2], row[3] = "", checkpoint or row[3]
        row[0] = "waiting" if state == "active" else "cancelled"
        if end is END.COMPLETED:
            row[0] = "completed"
        elif end is END.FAILED and state == "active":
            failures[index] += 1
            row[0] = "failed" if failures[index] >= max_failures else "waiting"
        if state == "active" and row[0] == "failed":
            self._end_job(job, "failed")
        elif state == "active" and all(r[0] == "completed" for r in rows):
            self._end_job(job, "completed")
        self._record_ended(job)

    def _end_job(self, job, state):
        self.jobs[job][0] = state
        for row in self.jobs[job][1]:
            if row[0] == "waiting":
                row[0] = "cancelled"
        self._record_ended(job)

    def _record_ended(self, job):
        state, rows, *_ = self.jobs[job]
        running = any(row[0] == "placed" for row in rows)
        if state != "active" and not running and job not in self.ended:
            self.ended.append(job)

    def expire(self, job):
        if job in self.ended:
            self.ended.remove(job)
            del self.jobs[job]

    def facts(self):
        rows = {
            f"{job}/{index}": row
            for job, value in self.jobs.items()
            for index, row in enumerate(value[1])
        }
        jobs = {
            job: (value[0], [tuple(row) for row in value[1]])
            for job, value in self.jobs.items()
        }
        waiting = sorted(k for k, row in rows.items() if row[0] == "waiting")
        placed = sorted(
            (k, row[2]) for k, row in rows.items() if row[0] == "placed"
        )
        return jobs, waiting, placed, self.ended


class StateHistories(stateful.RuleBasedStateMachine):
    """Random orders of events, with snapshots and replays in between."""

    def __init__(self):
        super().__init__()
        self.model = ReferenceModel()
        self.state = cell.State()
        self.saved = snapshot.encode(self.state)
        self.log = []

    def _apply(self, event):
        self.state.apply(event)
        self.log.append(event)

    @stateful.rule(
        job=strategies.sampled_from(JOBS),
        tasks=strategies.integers(1, 3),
        most=strategies.integers(1, 2),
    )
    def submit(self, job, tasks, most):
        spec = messages.JobSpec(job, "k", tasks=tasks, max_failures=most)
        self._apply(cell.JobSubmitted(spec))
        self.model.submit(job, tasks, most)

    @stateful.rule(job=strategies.sampled_from(JOBS))
    def cancel(self, job):
        self._apply(cell.JobCancelled(job))
        self.model.cancel(job)

    @stateful.precondition(lambda self: self.model.jobs)
    @stateful.rule(data=strategies.data())
    def place(self, data):
        job, index, row = self._draw_task(data)
        worker = data.draw(strategies.sampled_from(WORKERS))
        self._apply(cell.TaskPlaced(f"{job}/{index}", row[1] + 1, worker))
        self.model.place(job, index, worker)

    @stateful.precondition(lambda self: self.model.jobs)
    @stateful.rule(
        data=strategies.data(),
        end=strategies.sampled_from(END),
        older=strategies.sampled_from((0, 0, 0, 1)),
        checkpoint=strategies.sampled_from(("", "c1")),
    )
    def end(self, data, end, older, checkpoint):
        job, index, row = self._draw_task(data)
        attempt = row[1] - older
        task = f"{job}/{index}"
        self._apply(cell.TaskEnded(task, attempt, end, "", checkpoint))
        self.model.end(job, index, attempt, end, checkpoint)

    @stateful.rule(job=strategies.sampled_from(JOBS))
    def expire(self, job):
        self._apply(cell.JobsExpired((job,)))
        self.model.expire(job)

    @stateful.rule()
    def save(self):
        self.saved, self.log = snapshot.encode(self.state), []

    @stateful.invariant()
    def state_equals_model_and_replay(self):
        assert state_facts(self.state) == self.model.facts()
        replayed = snapshot.decode(self.saved)
        for event in self.log:
            replayed.apply(event)
        assert state_facts(replayed) == self.model.facts()

    def _draw_task(self, data):
        job = data.draw(strategies.sampled_from(sorted(self.model.jobs)))
        rows = self.model.jobs[job][1]
        index = data.draw(strategies.integers(0, len(rows) - 1))
        return job, index, rows[index]


TestHistories = StateHistories.TestCase


class TestState:
    def test_stopped_task_of_a_failed_job_is_not_retried(self):
        state = cell.State()
        spec = messages.JobSpec("a", "k", tasks=2, max_failures=1)
        state.apply(cell.JobSubmitted(spec))
        state.apply(cell.TaskPlaced("a/0", 1, "w1"))
        state.apply(cell.TaskPlaced("a/1", 1, "w1"))
        state.apply(cell.TaskEnded("a/0", 1, END.FAILED))
        assert not state.ended
        state.apply(cell.TaskEnded("a/1", 1, END.STOPPED))
        assert not state.waiting()
        assert list(state.ended) == ["a"]
