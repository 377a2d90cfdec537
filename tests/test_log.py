import json
import logging

from pomelostair import events
from pomelostair import log


class TestEmit:
    def test_line_is_json_with_number_name_and_process(self, capsys):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        try:
            log.configure("entry-1", "WARNING")
            log.emit(events.Events.STARTED, role="entry")
            log.emit(events.Events.MESSAGE_DROPPED, reason="malformed")
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 1
        line = json.loads(lines[0])
        assert line["event"] == 120
        assert line["event_name"] == "MESSAGE_DROPPED"
        assert line["process"] == "entry-1"
        assert line["reason"] == "malformed"
