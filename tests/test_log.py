import json
import logging
import os

from pomelostair import events
from pomelostair import log


class TestEmit:
    def test_line_is_json_with_number_name_and_process(self, capfd):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        try:
            log.configure("entry-1", "WARNING")
            log.emit(events.Events.STARTED, role="entry")
            log.emit(
                events.Events.MESSAGE_DROPPED,
                reason="malformed",
                detail="z" * 9000,
            )
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
        written = capfd.readouterr()
        assert written.err == ""
        lines = written.out.splitlines()
        assert len(lines) == 1
        line = json.loads(lines[0])
        assert line["event"] == 120
        assert line["event_name"] == "MESSAGE_DROPPED"
        assert line["process"] == "entry-1"
        assert line["reason"] == "malformed"
        assert line["detail"] == "z" * log.MAX_FIELD_CHARACTERS + "..."


class TestNonBlockingHandler:
    def run_with_handler(self, emit):
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        handler = log.NonBlockingHandler(writer)
        handler.setFormatter(logging.Formatter("%(message)s %(dropped)s"))
        logger = logging.Logger("test")
        logger.addHandler(handler)
        try:
            emit(logger, reader, handler)
        finally:
            os.close(writer)
            os.close(reader)

    def test_stalled_reader_does_not_block(self):
        def emit(logger, _reader, handler):
            for number in range(log.MAX_BUFFERED_LINES * 2):
                fields = {"event": number, "dropped": ""}
                logger.info("x" * 200, extra=fields)
            assert handler.dropped["reader-slow"] > 0
            assert len(handler.buffered) <= log.MAX_BUFFERED_LINES

        self.run_with_handler(emit)

    def test_reports_of_dropped_lines_fit_into_the_buffer(self, monkeypatch):
        """Guards against memory that grows while nobody reads the log.

        Each second with dropped lines added a line of its own.
        """
        now_s = iter(range(10**6))
        monkeypatch.setattr(log.time, "monotonic", lambda: next(now_s))

        def emit(logger, _reader, handler):
            for _ in range(log.MAX_BUFFERED_LINES * 2):
                logger.info("x" * 200, extra={"event": 1, "dropped": ""})
            assert handler.dropped["reader-slow"] > 0
            assert len(handler.buffered) <= log.MAX_BUFFERED_LINES

        self.run_with_handler(emit)

    def test_long_lines_of_a_stalled_reader_are_bounded(self):
        """Guards against 2,000 lines with a caller's 32 KiB each."""

        def emit(logger, _reader, handler):
            for number in range(300):
                logger.info(
                    "x" * 32_000, extra={"event": number, "dropped": ""}
                )
            held = sum(map(len, handler.buffered))
            assert held <= log.MAX_BUFFERED_BYTES
            assert handler.dropped["reader-slow"] > 0

        self.run_with_handler(emit)

    def test_lines_over_the_event_limit_are_counted(self):
        def emit(logger, reader, handler):
            for _ in range(log.MAX_LINES_PER_S * 3):
                logger.info("x", extra={"event": 7, "dropped": ""})
            logger.info("y", extra={"event": 8, "dropped": ""})
            written = os.read(reader, 1 << 20).decode()
            # The test may span two seconds, which resets the limit once.
            assert written.count("x") >= log.MAX_LINES_PER_S
            assert written.count("x") <= 2 * log.MAX_LINES_PER_S
            assert "y" in written
            assert handler.dropped["budget-7"] > 0

        self.run_with_handler(emit)

    def test_limit_is_higher_for_warnings(self):
        def emit(logger, reader, _handler):
            for _ in range(log.MAX_LINES_PER_S + 50):
                logger.warning("w", extra={"event": 9, "dropped": ""})
            written = os.read(reader, 1 << 20).decode()
            assert written.count("w") == log.MAX_LINES_PER_S + 50

        self.run_with_handler(emit)
