from pomelostair import pipelinereports

# Interval of the reports of an agent without news.
REPORT_INTERVAL_S = 0.8


class Agent:
    """A process of an agent that reports at intervals."""

    def __init__(self, incarnation, started_ms):
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.sequence = 0

    def report(self, reports, now):
        """Sends a report; returns whether it counts."""
        self.sequence += 1
        return reports.accept(
            self.incarnation, self.started_ms, self.sequence, now
        )

    def ignored_s(self, reports, now):
        """Reports until a report counts; returns how long that takes."""
        begin_s = now
        while not self.report(reports, now):
            now += REPORT_INTERVAL_S
            assert now - begin_s < 60
        return now - begin_s


class TestOneProcess:
    def test_report_that_was_overtaken_does_not_count(self):
        reports = pipelinereports.ReportSequence()
        assert reports.accept("a", 1000, 5, 0.0)
        assert not reports.accept("a", 1000, 4, 0.1)
        assert not reports.accept("a", 1000, 5, 0.1)
        assert reports.accept("a", 1000, 6, 0.2)


class TestSeveralProcesses:
    def test_late_report_of_an_earlier_one_does_not_count(self):
        """Guards against old lists, and against silencing the agent."""
        reports = pipelinereports.ReportSequence()
        earlier, later = Agent("a", 1000), Agent("b", 2000)
        assert later.report(reports, 0.0)
        assert not earlier.report(reports, 0.1)
        assert later.report(reports, 0.2)

    def test_later_one_counts_at_once(self):
        reports = pipelinereports.ReportSequence()
        earlier, later = Agent("a", 1000), Agent("b", 2000)
        earlier.sequence = 50
        assert earlier.report(reports, 0.0)
        assert later.report(reports, 0.1)
        assert not earlier.report(reports, 0.2)
        assert later.report(reports, 0.3)

    def test_later_one_whose_clock_went_back_counts_soon(self):
        """Guards against an agent that is ignored for a whole term."""
        reports = pipelinereports.ReportSequence()
        earlier, later = Agent("a", 6000), Agent("b", 2000)
        assert earlier.report(reports, 0.0)
        assert later.ignored_s(reports, 1.0) < 6.0
        assert later.report(reports, 8.0)
        assert not earlier.report(reports, 8.1)

    def test_older_versions_do_not_silence_the_agent(self):
        """Guards against an agent that is ignored for a whole term.

        Their reports do not tell when the process began.
        """
        reports = pipelinereports.ReportSequence()
        earlier, later = Agent("a", 0), Agent("b", 0)
        assert later.report(reports, 0.0)
        earlier.report(reports, 0.1)
        assert later.ignored_s(reports, 0.2) < 6.0
        assert not earlier.report(reports, 8.0)

    def test_later_one_of_an_older_version_counts_at_once(self):
        reports = pipelinereports.ReportSequence()
        assert Agent("a", 1000).report(reports, 0.0)
        assert Agent("b", 0).report(reports, 0.1)

    def test_late_reports_do_not_count_while_the_current_one_reports(self):
        """Guards against old lists, which a second run of a task may follow."""
        reports = pipelinereports.ReportSequence()
        earlier, later = Agent("a", 1000), Agent("b", 2000)
        for step in range(20):
            now = step * REPORT_INTERVAL_S
            assert later.report(reports, now)
            assert not earlier.report(reports, now + 0.1)

    def test_late_reports_do_not_count_in_a_silence(self):
        """Guards against old lists that arrive while a link is cut.

        They may come in the wrong order, and after a while once more.
        """
        reports = pipelinereports.ReportSequence()
        later = Agent("b", 2000)
        assert later.report(reports, 0.0)
        for now, sequence in ((0.1, 6), (2.0, 9), (4.0, 8), (9.0, 7)):
            assert not reports.accept("a", 1000, sequence, now)
        assert later.report(reports, 9.1)
