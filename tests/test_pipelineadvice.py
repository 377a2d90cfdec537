"""Requests to an advisor that accepts one call at a time.

Guards against calls that ask again what is known, and against attempts that
start without a valid ticket.
"""

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


def make_pipeline(name="a", *stages):
    declared = pipelines.declare(name, *stages, queue="advised")
    return pipeline.Pipeline(declared, 1, pipeline.Progress(), 0.0)


def task_of(item):
    return item.tasks(0, 0)[0]


class TestAdvice:
    def test_request_contains_each_worker_once_and_is_limited(self):
        advice = pipelineadvice.Advice()
        workers = [pipelines.worker(f"w{n}") for n in range(50)]
        task = task_of(make_pipeline())
        advice.add_request(task, workers, VALID_S, 0.0)
        advice.add_request(task, workers, VALID_S, 0.0)
        request = advice.next_request()
        assert request.step == "a.0.0"
        assert (
            len(set(request.workers)) == pipelineadvice.MAX_WORKERS_PER_REQUEST
        )
        assert advice.next_request() is None

    def test_rejected_worker_is_not_requested_again(self):
        advice = pipelineadvice.Advice()
        workers = [pipelines.worker("w1"), pipelines.worker("w2")]
        task = task_of(make_pipeline())
        advice.add_request(task, workers, VALID_S, 0.0)
        advice.apply_answer(advice.next_request(), {"w2": "t"}, 0.0)
        assert advice.ticket(task, workers[0], 1.0) is None
        assert advice.ticket(task, workers[1], 1.0) == "t"
        advice.add_request(task, workers, VALID_S, 10.0)
        assert advice.next_request().workers == (("w2", 1),)

    def test_ticket_expires_before_the_worker_refuses_it(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make_pipeline())
        advice.add_request(task, [worker], VALID_S, 0.0)
        advice.apply_answer(advice.next_request(), {"w1": "t"}, 1.0)
        assert advice.ticket(task, worker, 3.4) == "t"
        assert advice.ticket(task, worker, 3.6) is None

    def test_ticket_is_for_one_incarnation_of_a_worker(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make_pipeline())
        advice.add_request(task, [worker], VALID_S, 0.0)
        advice.apply_answer(advice.next_request(), {"w1": "t"}, 0.0)
        worker.incarnation = 2
        assert advice.ticket(task, worker, 1.0) is None
        advice.add_request(task, [worker], VALID_S, 1.0)
        assert advice.next_request().workers == (("w1", 2),)

    def test_refused_ticket_is_requested_again(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make_pipeline())
        advice.add_request(task, [worker], VALID_S, 0.0)
        advice.apply_answer(advice.next_request(), {"w1": "t"}, 0.0)
        advice.discard_ticket(task, worker)
        assert advice.ticket(task, worker, 1.0) is None
        assert not advice.permits(task, worker, 1.0)
        advice.add_request(task, [worker], VALID_S, 1.0)
        assert advice.next_request() is not None

    def test_forget_drops_everything_about_a_pipeline(self):
        advice = pipelineadvice.Advice()
        worker = pipelines.worker("w1")
        task = task_of(make_pipeline())
        advice.add_request(task, [worker], VALID_S, 0.0)
        advice.apply_answer(advice.next_request(), {"w1": "t"}, 0.0)
        advice.add_request(task_of(make_pipeline("ab")), [worker], VALID_S, 0.0)
        advice.forget("a")
        assert advice.ticket(task, worker, 1.0) is None
        assert advice.next_request().step == "ab.0.0"


class TestStarts:
    def test_tasks_start_only_on_workers_with_a_ticket(self):
        pacer = pacing.Pacer(METRICS)
        tracker = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(
            1, tracker, pacer, METRICS, lambda item: None
        )
        workers = [pipelines.worker("w1"), pipelines.worker("w2")]
        item = make_pipeline("a", pipelines.stage(3))

        def run_round(now):
            for worker in workers:
                worker.last_report_s = now
            starter.start_ready([item], workers, TABLE, {}, now)

        run_round(1.0)
        assert not item.started
        request = starter.advice.next_request()
        assert {name for name, _ in request.workers} == {"w1", "w2"}
        starter.advice.apply_answer(request, {"w2": "ticket"}, 1.0)
        run_round(1.1)
        orders = workers[1].unconfirmed_orders
        assert [order.ticket for order in orders] == ["ticket"] * 3
        assert not workers[0].unconfirmed_orders
        assert starter.advice.next_request() is None

    def test_gang_waits_until_all_members_have_tickets(self):
        pacer = pacing.Pacer(METRICS)
        tracker = attempts.Attempts(pacer, METRICS)
        starter = pipelinestarts.Starter(
            1, tracker, pacer, METRICS, lambda item: None
        )
        workers = [pipelines.worker(f"w{n}", cores=4) for n in range(3)]
        item = make_pipeline(
            "a", pipelines.stage(2, millicores=4000, gang=True)
        )
        for now, tickets in ((1.0, {"w0": "t"}), (1.1, {"w1": "t"})):
            for worker in workers:
                worker.last_report_s = now
            starter.start_ready([item], workers, TABLE, {}, now)
            assert not item.started
            request = starter.advice.next_request()
            starter.advice.apply_answer(
                pipelineadvice.AdviceRequest(
                    request.step, tuple((n, 1) for n in tickets), VALID_S
                ),
                tickets,
                now,
            )
        starter.start_ready([item], workers, TABLE, {}, 1.2)
        assert (
            len(workers[0].unconfirmed_orders)
            == len(workers[1].unconfirmed_orders)
            == 1
        )
