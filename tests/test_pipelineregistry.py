from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelineregistry
from pomelostair import pipelinerows
from tests import pipelines

KEY = ("w1", 1)
TERM = 7  # Version of the lease row.
LIFE = fleet.KnownIncarnation(*KEY)


def make_registry():
    return pipelineregistry.PipelineRegistry(
        TERM, lambda: 60_000.0, lambda _: False
    )


def commit(registry):
    batch = registry.next_batch({})
    registry.confirm(batch)
    return batch


class TestAgents:
    def test_incarnation_is_registered_once_it_is_stored(self):
        registry = make_registry()
        registry.register_agent("a", "bus", (LIFE,), True)
        assert not registry.is_registered("a", KEY)
        commit(registry)
        assert registry.is_registered("a", KEY)

    def test_unregistered_incarnation_is_removed_from_the_store(self):
        registry = make_registry()
        registry.register_agent("a", "bus", (LIFE,), True)
        commit(registry)
        registry.unregister("a", KEY)
        assert not registry.is_registered("a", KEY)
        assert not commit(registry).agents["a"].lives
        registry.unregister("a", KEY)
        assert not registry.has_uncommitted

    def test_removal_on_its_way_to_the_store_outlasts_a_registration(self):
        """Until the later registration is stored, too, no work may start."""
        registry = make_registry()
        registry.register_agent("a", "bus", (LIFE,), True)
        commit(registry)
        registry.unregister("a", KEY)
        removal = registry.next_batch({})
        registry.register_agent("a", "bus", (LIFE,), True)
        assert not registry.is_registered("a", KEY)
        registry.confirm(removal)
        assert not registry.is_registered("a", KEY)
        commit(registry)
        assert registry.is_registered("a", KEY)

    def test_registration_on_its_way_to_the_store_is_not_lost(self):
        other = fleet.KnownIncarnation("w2", 1)
        registry = make_registry()
        registry.register_agent("a", "bus", (LIFE,), True)
        commit(registry)
        registry.register_agent("a", "bus", (LIFE, other), True)
        batch = registry.next_batch({})
        registry.unregister("a", KEY)
        registry.confirm(batch)
        assert commit(registry).agents["a"].lives == (other,)


class TestAge:
    """The times of day of an entry and the leader differ while one jumps."""

    def age_s(self, version, submitted_ms, later_s=0.0):
        registry = make_registry()
        declared = pipelines.declare("p", submitted_ms=submitted_ms)
        registry.add(declared, version, pipeline.Progress(), 1000.0)
        return registry.pipelines["p"].age_s(1000.0 + later_s)

    def test_pipeline_of_this_term_is_timed_by_the_leaders_clock(self):
        for submitted_ms in (0, 60_000, 99_000):
            assert self.age_s(TERM + 1, submitted_ms) == 0.0
            assert self.age_s(TERM + 1, submitted_ms, 2.5) == 2.5

    def test_age_of_an_earlier_pipeline_is_taken_from_the_time_of_day(self):
        assert self.age_s(TERM, 58_000, 1.0) == 3.0
        assert self.age_s(TERM, 99_000, 1.0) == 1.0


class TestForget:
    def test_changed_pipeline_may_be_forgotten_before_its_commit(self):
        """An end that arrives late marks an expired pipeline as changed."""
        registry = make_registry()
        registry.add(pipelines.declare("p"), 1, pipeline.Progress(), 0.0)
        registry.mark_changed(registry.pipelines["p"])
        registry.forget("p")
        batch = registry.next_batch({})
        assert batch.removed == ("p",)
        assert not batch.progress

    def test_failed_commit_of_a_forgotten_pipeline_is_not_repeated(self):
        registry = make_registry()
        registry.add(pipelines.declare("p"), 1, pipeline.Progress(), 0.0)
        registry.mark_changed(registry.pipelines["p"])
        batch = registry.next_batch({})
        registry.forget("p")
        registry.requeue(batch)
        assert not registry.next_batch({}).progress


class TestBatchSize:
    """A commit that the store refuses would end every leader's term."""

    def test_wide_pipelines_are_stored_in_several_commits(self):
        registry = make_registry()
        for number in range(pipelineregistry.MAX_PROGRESS_ROWS):
            add_with_checkpoints(registry, f"p{number}", 500)
        batch = commit(registry)
        stored_bytes = sum(map(len, batch.rows.values()))
        assert stored_bytes <= (
            pipelineregistry.MAX_PROGRESS_BYTES + pipelinerows.MAX_ROW_BYTES
        )
        names = set(batch.rows)
        while registry.has_uncommitted:
            names |= set(commit(registry).rows)
        assert len(names) == pipelineregistry.MAX_PROGRESS_ROWS

    def test_checkpoints_are_left_out_of_a_row_that_is_too_large(self):
        registry = make_registry()
        add_with_checkpoints(registry, "p", pipeline.MAX_TASKS)
        value = commit(registry).rows["p"]
        assert len(value) <= pipelinerows.MAX_ROW_BYTES
        assert len(pipeline.decode_progress(value).checkpoints) > 100

    def test_placements_are_left_out_of_a_row_that_is_too_large(self):
        """The next leader then waits for all workers, as for no record."""
        registry = make_registry()
        wide = pipelines.stage(pipeline.MAX_TASKS, lasting=True)
        registry.add(
            pipelines.declare("p", wide), 1, pipeline.Progress(placed={}), 0.0
        )
        item = registry.pipelines["p"]
        for task in item.tasks(0, 0):
            task.placed_on.add(KEY)
        registry.mark_changed(item)
        value = commit(registry).rows["p"]
        assert len(value) <= pipelinerows.MAX_ROW_BYTES
        assert pipeline.decode_progress(value).placed is None


def add_with_checkpoints(registry, name, count):
    declared = pipelines.declare(name, pipelines.stage(count))
    registry.add(declared, 1, pipeline.Progress(), 0.0)
    item = registry.pipelines[name]
    for task in item.tasks(0, 0):
        task.checkpoint = f"{task.index:016x}"
    registry.mark_changed(item)
