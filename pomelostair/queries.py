"""Answers operator queries at an entry, as rows of named columns."""

import attrs

from pomelostair import command
from pomelostair import configuration
from pomelostair import declaration
from pomelostair import directory as directory_module
from pomelostair import jobapi
from pomelostair import kernel
from pomelostair import membership
from pomelostair import messages
from pomelostair import outcome
from pomelostair import settings as settings_module
from pomelostair import stopplan

MAX_LISTED_TASKS = 50_000
PLACED = "placed"
_LEADER_FILTERS = ("job", "kind", "team", "state", "worker")

Row = dict[str, object]


@kernel.plugin(settings_module.Role.ENTRY)
class Queries(kernel.Plugin):
    """Collects rows from the leader, the directory and the configuration."""

    requires = (
        configuration.Configuration,
        jobapi.JobApi,
        membership.Membership,
    )

    def __init__(self, parts: kernel.Parts, host: kernel.Kernel):
        super().__init__(parts, host)
        self._configuration = host.get(configuration.Configuration)
        self._jobs = host.get(jobapi.JobApi)
        self._directory = host.get(membership.Membership).directory

    async def rows(self, sentence: command.Show) -> list[Row] | outcome.Refused:
        """Returns the rows that a query selects, or a refusal."""
        rows = await self._unfiltered_rows(sentence)
        if isinstance(rows, outcome.Refused):
            return rows
        return command.select(rows, sentence.where)

    async def running_tasks(
        self,
    ) -> tuple[stopplan.RunningTask, ...] | outcome.Refused:
        """Returns the placed tasks with the urgency in force, or a refusal."""
        tasks = await self.tasks(messages.ListTasks(state=PLACED))
        if isinstance(tasks, outcome.Refused):
            return tasks
        declared = self._configuration.in_force.declarations
        return tuple(
            stopplan.RunningTask(
                task.id,
                declared.urgency_of(task.kind, task.urgency),
                task.survive,
                task.size.cores,
                task.worker,
            )
            for task in tasks
        )

    async def tasks(
        self, query: messages.ListTasks
    ) -> list[messages.TaskRow] | outcome.Refused:
        """Returns all tasks that match a query, fetched page by page.

        Refuses queries that match more than `MAX_LISTED_TASKS` tasks.
        """
        collected: list[messages.TaskRow] = []
        while len(collected) < MAX_LISTED_TASKS:
            answer = await self._jobs.ask_leader(query)
            match answer:
                case messages.TaskList(rows=rows, more=more):
                    collected.extend(rows)
                case outcome.Refused():
                    return answer
                case _:
                    return _unexpected_answer(answer)
            if not more or not rows:
                return collected
            query = attrs.evolve(query, after=rows[-1].id)
        return outcome.Refused(
            outcome.Kind.LIMITED,
            "narrow the query with where; "
            f"it lists over {MAX_LISTED_TASKS} tasks",
        )

    async def _unfiltered_rows(
        self, sentence: command.Show
    ) -> list[Row] | outcome.Refused:
        declared = self._configuration.in_force.declarations
        match sentence.noun:
            case command.Noun.TASKS:
                return await self._task_rows(sentence.where)
            case command.Noun.JOBS:
                return await self._job_rows()
            case command.Noun.WORKERS:
                return await self._worker_rows()
            case command.Noun.MINIONS:
                return self._minion_rows()
            case command.Noun.TEAMS:
                return [_row_from_attrs(team) for team in declared.teams]
            case command.Noun.SERVICES:
                return [
                    _row_from_attrs(service) for service in declared.services
                ]
            case command.Noun.LIMITS:
                limits = attrs.asdict(declared.limits, recurse=False)
                return [{"id": k, "value": v} for k, v in limits.items()]
            case command.Noun.URGENCIES:
                return [
                    {"id": entry.kind, "urgency": entry.urgency}
                    for entry in declared.urgencies
                ]
            case command.Noun.DRAINS:
                return await self._drain_rows()

    async def _task_rows(
        self, where: tuple[command.Condition, ...]
    ) -> list[Row] | outcome.Refused:
        filters = {
            condition.column: condition.value
            for condition in where
            if condition.operator is command.Operator.EQUAL
            and condition.column in _LEADER_FILTERS
        }
        tasks = await self.tasks(messages.ListTasks(**filters))
        if isinstance(tasks, outcome.Refused):
            return tasks
        return [self._task_row(task) for task in tasks]

    def _task_row(self, task: messages.TaskRow) -> Row:
        declared = self._configuration.in_force.declarations
        urgency = declared.urgency_of(task.kind, task.urgency)
        return {
            "id": task.id,
            "job": task.job,
            "kind": task.kind,
            "team": task.team,
            "urgency": urgency.name.lower(),
            "state": task.state,
            "attempt": task.attempt,
            "worker": task.worker,
            "cores": task.size.cores,
            "survive": task.survive,
            "reason": task.reason,
        }

    async def _job_rows(self) -> list[Row] | outcome.Refused:
        tasks = await self.tasks(messages.ListTasks())
        if isinstance(tasks, outcome.Refused):
            return tasks
        jobs: dict[str, Row] = {}
        states = ("waiting", "placed", "completed", "failed", "cancelled")
        for task in tasks:
            row = jobs.get(task.job)
            if row is None:
                task_row = self._task_row(task)
                row = {"id": task.job}
                row |= {
                    key: task_row[key] for key in ("kind", "team", "urgency")
                }
                row |= dict.fromkeys(("tasks", *states), 0)
                jobs[task.job] = row
            row["tasks"] += 1
            row[task.state] = row.get(task.state, 0) + 1
        return list(jobs.values())

    async def _worker_rows(self) -> list[Row] | outcome.Refused:
        answer = await self._jobs.ask_leader(messages.ListWorkers())
        match answer:
            case messages.WorkerList(rows=rows):
                return [_worker_row(row) for row in rows]
            case outcome.Refused():
                return answer
        return _unexpected_answer(answer)

    def _minion_rows(self) -> list[Row]:
        now = self._parts.clock.now()
        return [
            _minion_row(target, now)
            for target in self._directory.targets()
            if target.announcement.service
        ]

    async def _drain_rows(self) -> list[Row] | outcome.Refused:
        rows = []
        for entry in self._configuration.in_force.orders.drains:
            remaining = await self._remaining_work(entry.target)
            target = self.find_target(entry.target)
            state = "silent"
            if target is not None:
                state = target.announcement.state.value
            if isinstance(remaining, outcome.Refused):
                return remaining
            rows.append(
                {
                    "id": entry.target,
                    "kind": entry.kind.value,
                    "within_s": entry.within_s,
                    "state": state,
                    "left": remaining,
                }
            )
        return rows

    async def _remaining_work(self, name: str) -> int | outcome.Refused:
        target = self.find_target(name)
        if target is not None and target.announcement.service:
            announced = target.announcement
            return announced.running + announced.queued
        tasks = await self.tasks(messages.ListTasks(state=PLACED, worker=name))
        return tasks if isinstance(tasks, outcome.Refused) else len(tasks)

    async def target_kind(self, name: str) -> declaration.TargetKind | None:
        """Returns the kind of a target, None if no such target is known.

        Also asks the leader, which knows workers that are not announced.
        """
        target = self.find_target(name)
        if target is not None and target.announcement.service:
            return declaration.TargetKind.MINION
        if target is not None:
            return declaration.TargetKind.WORKER
        workers = await self._worker_rows()
        if isinstance(workers, list) and any(
            row["id"] == name for row in workers
        ):
            return declaration.TargetKind.WORKER
        return None

    def find_target(self, name: str) -> directory_module.Target | None:
        """Returns the announced target with an agent name, None if unknown."""
        return next(
            (
                target
                for target in self._directory.targets()
                if target.announcement.name == name
            ),
            None,
        )


def _row_from_attrs(item: object) -> Row:
    fields = attrs.asdict(item, recurse=False)
    return {"id": fields.pop("name"), **fields}


def _worker_row(row: messages.WorkerRow) -> Row:
    return {
        "id": row.name,
        "zone": row.zone,
        "rack": row.rack,
        "state": row.state,
        "cores": row.capacity.cores,
        "free_cores": row.capacity.cores - row.assigned.cores,
        "memory_mb": row.capacity.memory_mb,
        "free_memory_mb": row.capacity.memory_mb - row.assigned.memory_mb,
        "tasks": row.tasks,
        "silent_s": round(row.silent_s, 3),
        "reason": row.reason,
    }


def _minion_row(target: directory_module.Target, now: float) -> Row:
    announced = target.announcement
    return {
        "id": announced.name,
        "service": announced.service,
        "zone": announced.zone,
        "state": announced.state.value,
        "slots": announced.slots,
        "running": announced.running,
        "queued": announced.queued,
        "silent_s": round(now - target.announced_s, 3),
    }


def _unexpected_answer(answer: object) -> outcome.Refused:
    return outcome.Refused(
        outcome.Kind.INTERNAL,
        f"upgrade this entry; the leader answered {type(answer).__name__}",
    )
