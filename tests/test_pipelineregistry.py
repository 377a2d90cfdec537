from pomelostair import pipeline
from pomelostair import pipelineregistry
from tests import pipelines


def make_registry():
    return pipelineregistry.PipelineRegistry(lambda: 0.0, lambda _: False)


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
