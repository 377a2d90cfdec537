import attrs

from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from tests import pipelines

RESEND_S = 2.0


def worker_with_orders(count):
    worker = pipelines.worker()
    for number in range(count):
        worker.enqueue_stop(f"a.0.0.{number}", 1)
    return worker


def numbers(orders):
    return [order.number for order in orders]


class TestOrdersToSend:
    def test_each_order_is_sent_once(self):
        worker = worker_with_orders(2)
        worker.orders_confirmed_s = 10.0
        assert numbers(worker.orders_to_send(10.0, RESEND_S)) == [1, 2]
        worker.enqueue_stop("a.0.0.9", 1)
        assert numbers(worker.orders_to_send(10.1, RESEND_S)) == [3]
        assert not worker.orders_to_send(10.2, RESEND_S)

    def test_unconfirmed_orders_are_repeated_ever_less_often(self):
        worker = worker_with_orders(2)
        worker.orders_confirmed_s = now = 10.0
        worker.orders_to_send(now, RESEND_S)
        sent_s = []
        while now < 40.0:
            now += 0.5
            if worker.orders_to_send(now, RESEND_S):
                sent_s.append(now)
        assert sent_s == [12.0, 16.0, 24.0, 32.0, 40.0]

    def test_repetition_has_all_unconfirmed_orders(self):
        worker = worker_with_orders(3)
        worker.orders_confirmed_s = 10.0
        worker.orders_to_send(10.0, RESEND_S)
        worker.confirm_orders(1, 11.0)
        assert not worker.orders_to_send(12.5, RESEND_S)
        assert numbers(worker.orders_to_send(13.0, RESEND_S)) == [2, 3]
        assert worker.confirmed_order == 1

    def test_large_orders_are_sent_in_several_messages(self):
        """A peer closes the connection over a message above its limit."""
        worker = pipelines.worker()
        for number in range(50):
            worker.unconfirmed_orders.append(
                messages.Order(number + 1, "start", "a", 1, "x" * 20_000)
            )
        worker.last_order_number = 50
        worker.orders_confirmed_s = 10.0
        batches = [worker.orders_to_send(10.0, RESEND_S) for _ in range(4)]
        assert sum(map(numbers, batches), []) == list(range(1, 51))
        for batch in batches:
            size = sum(len(order.payload) for order in batch)
            assert size <= fleet.MAX_ORDERS_CHARACTERS

    def test_busy_worker_that_confirms_gets_nothing_twice(self):
        """A burst: new orders for a worker all the time, reports late.

        Resending all unconfirmed orders with each new one multiplies the
        leader's traffic just when it is short of it.
        """
        worker = pipelines.worker()
        sent = []
        for step in range(100):
            now = 10.0 + step * 0.1
            worker.enqueue_stop(f"a.0.0.{step}", 1)
            sent += numbers(worker.orders_to_send(now, RESEND_S))
            if step >= 15:
                worker.confirm_orders(step - 15, now)
        assert len(sent) == len(set(sent)) == 100


class TestNeedsAnswer:
    def test_only_at_intervals_without_news(self):
        worker = pipelines.worker(granted=True)
        worker.instructed_s = 10.0
        assert not worker.needs_answer(10.5, 0.7)
        assert worker.needs_answer(10.8, 0.7)

    def test_first_list_is_answered_at_once(self):
        """Guards against starts that a worker refuses for want of a lease.

        An earlier report, which could not be answered with a lease, does not
        count.
        """
        worker = pipelines.worker()
        worker.instructed_s = 10.0
        assert worker.needs_answer(10.1, 0.7)
        worker.state = attrs.evolve(worker.state, fresh=False)
        assert not worker.needs_answer(10.1, 0.7)

    def test_repeated_end_is_acknowledged_again(self):
        worker = pipelines.worker(granted=True)
        worker.instructed_s = 10.0
        worker.state = attrs.evolve(
            worker.state, ended=((3, "a.0.0.0", 1, "done", ""),)
        )
        assert not worker.needs_answer(10.1, 0.7)
        worker.acknowledged_end = 3
        assert worker.needs_answer(10.1, 0.7)


class TestConfirmedOrder:
    def test_without_unconfirmed_orders(self):
        worker = fleet.Worker(
            "w1", 1, "agent", "bus", pipelines.worker_state(), 0.0, 0.0
        )
        worker.last_order_number = 7
        assert worker.confirmed_order == 7
        worker.unconfirmed_orders = [
            messages.Order(6, messages.STOP, "a.0.0.0", 1)
        ]
        assert worker.confirmed_order == 5


class TestRegistration:
    KNOWN = fleet.KnownIncarnation("w1", 1, "a:1", "s", "r1", ("a",))

    def test_report_without_details_keeps_earlier_ones(self):
        """Else the row would be written with each second report."""
        registration = fleet.Registration("bus", (self.KNOWN,))
        brief = fleet.KnownIncarnation("w1", 1, "a:1")
        updated = registration.with_reported("bus", (brief,), True)
        assert updated == registration

    def test_details_follow_the_latest_report(self):
        registration = fleet.Registration("bus", (self.KNOWN,))
        changed = attrs.evolve(self.KNOWN, labels=("b",))
        updated = registration.with_reported("bus", (changed,), True)
        assert updated.lives == (changed,)


class TestReservations:
    def tasks(self):
        item = pipeline.Pipeline(
            pipelines.declare("a", pipelines.stage(2, 3000)),
            1,
            pipeline.Progress(),
            0.0,
        )
        return item.tasks(0, 0)

    def test_first_of_two_does_not_wait_for_room_for_both(self):
        """Guards against two tasks that wait for each other."""
        worker = pipelines.worker(cores=4)
        first, second = self.tasks()
        for now in (1.0, 1.5):
            worker.reserve(first, now + 1.0)
            worker.reserve(second, now + 1.0)
        assert worker.free_for(first, 1.6).millicores == 4000
        assert worker.free_for(second, 1.6).millicores == 1000

    def test_others_leave_both_rooms(self):
        worker = pipelines.worker(cores=8)
        first, second = self.tasks()
        worker.reserve(first, 2.0)
        worker.reserve(second, 3.0)
        other = self.tasks()[0]
        other.id = "other.0.0.0"
        assert worker.free_for(other, 1.0).millicores == 2000
        assert worker.free_for(other, 2.5).millicores == 5000
