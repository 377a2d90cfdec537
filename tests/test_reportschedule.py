from pomelostair import pipeline
from pomelostair import pipelinemessages as messages
from pomelostair import ports
from pomelostair import reportschedule

INTERVAL_S = 0.8


def listing(*ends):
    ended = tuple((n, "a.0.0.0", n, pipeline.End.DONE, "") for n in ends)
    return ports.HoldAnswer(1000, 7, (), ended, False)


def schedule_reported_at(now, reported=None, results=()):
    schedule = reportschedule.ReportSchedule(INTERVAL_S)
    schedule.record(reported or listing(), results, now)
    return schedule


class TestIsDue:
    def test_first_listing_is_due(self):
        schedule = reportschedule.ReportSchedule(INTERVAL_S)
        assert schedule.is_due(listing(), (), 0, 0.0)

    def test_listing_without_news_waits_for_the_interval(self):
        schedule = schedule_reported_at(10.0)
        assert not schedule.is_due(listing(), (), 0, 10.4)
        assert schedule.is_due(listing(), (), 0, 10.8)

    def test_new_end_is_due_at_once(self):
        schedule = schedule_reported_at(10.0, listing(1))
        assert not schedule.is_due(listing(1), (), 0, 10.1)
        assert schedule.is_due(listing(1, 2), (), 0, 10.1)

    def test_unacknowledged_end_is_repeated_later(self):
        schedule = schedule_reported_at(10.0, listing(1))
        later_s = 10.0 + reportschedule.REPEAT_ENDS_AFTER_S
        assert schedule.is_due(listing(1), (), 0, later_s)
        assert not schedule.is_due(listing(1), (), 1, later_s)

    def test_refusal_is_due_at_once_and_only_once(self):
        refusal = messages.OrderResult(1, 5, messages.REFUSED, "room")
        schedule = schedule_reported_at(10.0)
        assert schedule.is_due(listing(), (refusal,), 0, 10.1)
        schedule.record(listing(), (refusal,), 10.1)
        assert not schedule.is_due(listing(), (refusal,), 0, 10.2)

    def test_executed_order_waits_for_the_interval(self):
        done = messages.OrderResult(1, 5, messages.DONE)
        schedule = schedule_reported_at(10.0)
        assert not schedule.is_due(listing(), (done,), 0, 10.1)

    def test_another_leader_gets_the_next_listing(self):
        schedule = schedule_reported_at(10.0)
        schedule.restart()
        assert schedule.is_due(listing(), (), 0, 10.1)


class TestIdleWorkers:
    def test_rate_of_reports_of_idle_workers(self):
        """Hundreds of idle workers, whose agents poll them continuously.

        Their reports must not occupy the leader, which has one core.
        """
        schedule = reportschedule.ReportSchedule(INTERVAL_S)
        reports = 0
        for poll in range(100):
            now = poll * 0.1
            if schedule.is_due(listing(), (), 0, now):
                schedule.record(listing(), (), now)
                reports += 1
        assert reports <= 13
