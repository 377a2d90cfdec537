"""The load answered here: an advisor that takes one call at a time."""

from pomelostair import attempts
from pomelostair import metrics
from pomelostair import pacing
from pomelostair import pipeline
from pomelostair import pipelineadvice
from pomelostair import pipelinestarts
from pomelostair import queues
from tests import pipelines

METRICS = metrics.Metrics()
VALID_S = 3.0
QUEUE = queues.Queue(
    name="advised",
    host="advised.example",
    path_prefix="/advised/",
    service="clapper-desk",
    max_attempts=2,
    advice=queues.AdviceTerms(50, 10, int(VALID_S * 1000)),
)
TABLE = queues.QueueTable(1, (QUEUE,))


def make(name="a", *stages):
    declared = pipelines.declare(name, *stages, queue="advised")
    return pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)


def task_of(item):
    return item.tasks(0, 0)[0]


class TestAdvice:
    def test_question_names_each_worker_once_and_not_too_many(self):
        advice = pipelineadvice.Advice()
        workers = [pipelines.worker(f"w{n}") for n in range(50)]
        task = task_of(make())
        advice.want(task, workers, VALID_S, 0.0)
        advice.want(task, workers, VALID_S, 0.0)
        question = advice.next_question()
        assert question.step == "a.0.0"
        assert len(set(question.workers)) == pipelineadvice.MOST_NAMED
        assert advice.next_question() is None

    def test_rejected_workers_are_not_asked_about_again(self):
        advice = pipelineadvice.Advice()
        workers = [pipelines.worker("w1"), pipelines.worker("w2")]
        task = task_of(make())
        advice.want(task, workers, VALID_S, 0.0)
        advice.answer(advice.next_question(), {"w2": "t"}, 0.0)
        assert advice.ticket(task, workers[0], 1.0) is None
        assert advice.ticket(task, workers[1], 1.0) == "t"
        advice.want(task, workers, VALID_S, 10.0)
        assert advice.next_question().workers == (("w2", 1),)

    def test_ticket_runs_out_before_the_worker_refuses_it(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make())
        advice.want(task, [worker], VALID_S, 0.0)
        advice.answer(advice.next_question(), {"w1": "t"}, 1.0)
        assert advice.ticket(task, worker, 3.4) == "t"
        assert advice.ticket(task, worker, 3.6) is None

    def test_ticket_is_for_one_life_of_a_worker(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make())
        advice.want(task, [worker], VALID_S, 0.0)
        advice.answer(advice.next_question(), {"w1": "t"}, 0.0)
        worker.incarnation = 2
        assert advice.ticket(task, worker, 1.0) is None
        advice.want(task, [worker], VALID_S, 1.0)
        assert advice.next_question().workers == (("w1", 2),)

    def test_refused_ticket_is_asked_for_again(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make())
        advice.want(task, [worker], VALID_S, 0.0)
        advice.answer(advice.next_question(), {"w1": "t"}, 0.0)
        advice.refused(task, worker)
        assert advice.ticket(task, worker, 1.0) is None
        assert not advice.permits(task, worker, 1.0)
        advice.want(task, [worker], VALID_S, 1.0)
        assert advice.next_question() is not None

    def test_forgotten_pipeline_leaves_nothing(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make())
        advice.want(task, [worker], VALID_S, 0.0)
        advice.answer(advice.next_question(), {"w1": "t"}, 0.0)
        advice.want(task_of(make("ab")), [worker], VALID_S, 0.0)
        advice.forget("a")
        assert advice.ticket(task, worker, 1.0) is None
        assert advice.next_question().step == "ab.0.0"


class TestStarts:
    def test_nothing_starts_without_a_ticket_and_all_with_one(self):
        pacer = pacing.Pacer(METRICS)
        made = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(1, made, pacer, METRICS)
        workers = [pipelines.worker("w1"), pipelines.worker("w2")]
        item = make("a", pipelines.stage(3))

        def round_at(now):
            for worker in workers:
                worker.last_report_s = now
            starter.start_ready([item], workers, TABLE, {}, now, 0.0)

        round_at(1.0)
        assert not item.started
        question = starter.advice.next_question()
        assert {name for name, _ in question.workers} == {"w1", "w2"}
        starter.advice.answer(question, {"w2": "ticket"}, 1.0)
        round_at(1.1)
        orders = workers[1].unconfirmed_orders
        assert [order.ticket for order in orders] == ["ticket"] * 3
        assert not workers[0].unconfirmed_orders
        assert starter.advice.next_question() is None

    def test_gang_waits_until_all_members_have_tickets(self):
        pacer = pacing.Pacer(METRICS)
        made = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(1, made, pacer, METRICS)
        workers = [pipelines.worker(f"w{n}", cores=4) for n in range(3)]
        item = make("a", pipelines.stage(2, millicores=4000, gang=True))
        for now, tickets in ((1.0, {"w0": "t"}), (1.1, {"w1": "t"})):
            for worker in workers:
                worker.last_report_s = now
            starter.start_ready([item], workers, TABLE, {}, now, 0.0)
            assert not item.started
            question = starter.advice.next_question()
            starter.advice.answer(
                pipelineadvice.Question(
                    question.step, tuple((n, 1) for n in tickets), VALID_S
                ),
                tickets,
                now,
            )
        starter.start_ready([item], workers, TABLE, {}, 1.2, 0.0)
        assert (
            len(workers[0].unconfirmed_orders)
            == len(workers[1].unconfirmed_orders)
            == 1
        )
