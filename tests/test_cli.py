import json
import socket

import pytest

from pomelostair import cli
from pomelostair import entryclient


class FakeEntry(entryclient.EntryClient):
    """Returns prepared answers in order, repeating the last one."""

    def __init__(self, answers):
        super().__init__("127.0.0.1:1")
        object.__setattr__(self, "answers", list(answers))
        object.__setattr__(self, "requests", [])

    def send(self, method, target, body=None):
        self.requests.append((method, target, body))
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]


def run(answers, *arguments):
    tool = cli.Tool(cli._parser().parse_args(arguments))
    tool._client = FakeEntry(answers)
    code = tool.run(tool._options.words)
    return code, tool._client.requests


def answered(**body):
    return entryclient.Answered({"message": "done", "version": 3, **body})


def refused(kind, ran="no", status=503):
    return entryclient.Refused(status, kind, "repeat", ran)


class TestExitCode:
    @pytest.mark.parametrize(
        ("answer", "code"),
        [
            (answered(rows=[]), cli.EXIT_DONE),
            (refused("store-unavailable"), cli.EXIT_REFUSED),
            (refused("bad-request", status=400), cli.EXIT_USAGE),
            (refused("conflict", status=409), cli.EXIT_CONFLICT),
            (refused("answer-lost", "unknown"), cli.EXIT_UNKNOWN),
            (entryclient.AnswerLost("timed out"), cli.EXIT_UNKNOWN),
            (entryclient.Unreachable("refused"), cli.EXIT_UNREACHABLE),
        ],
    )
    def test_matches_the_answer(self, answer, code):
        assert run([answer], "set", "limit", "batch_share", "1")[0] == code

    def test_bad_sentence_is_not_sent(self, capsys):
        code, requests = run([answered()], "drain", "wroker", "x")
        assert code == cli.EXIT_USAGE
        assert requests == []
        assert "      ^\n" in capsys.readouterr().err

    @pytest.mark.parametrize("words", [["job"], ["apply"], ["apply", "/no"]])
    def test_incomplete_command_line(self, words, capsys):
        assert run([answered()], *words)[0] == cli.EXIT_USAGE
        assert capsys.readouterr().err

    def test_refused_connection(self, capsys):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        assert cli.main(["--entry", address, "limits"]) == cli.EXIT_UNREACHABLE
        assert address in capsys.readouterr().err

    def test_bad_address(self, capsys):
        code = cli.main(["--entry", "nowhere:port", "limits"])
        assert code == cli.EXIT_UNREACHABLE


class TestOutput:
    def test_table(self, capsys):
        run([answered(rows=[{"id": "a", "cores": 2.0}])], "workers")
        assert capsys.readouterr().out == "id  cores\na   2\ndone\n"

    def test_json(self, capsys):
        run([answered(rows=[{"id": "a"}])], "--json", "workers")
        shown = json.loads(capsys.readouterr().out)
        assert shown["rows"] == [{"id": "a"}]


class TestProgress:
    def test_drain_prints_the_remaining_work(self, capsys, monkeypatch):
        monkeypatch.setattr(cli, "PROGRESS_INTERVAL_S", 0)
        answers = [answered(rows=[])]
        answers += [answered(rows=[{"id": "w", "left": n}]) for n in (2, 1, 0)]
        code, _ = run(answers, *["drain", "worker", "w", "within", "9", "s"])
        assert code == cli.EXIT_DONE
        assert capsys.readouterr().err == "2 left\n1 left\n0 left\n"

    def test_drain_is_not_done_before_the_target_drains(
        self, capsys, monkeypatch
    ):
        monkeypatch.setattr(cli, "PROGRESS_INTERVAL_S", 0)
        answers = [answered(rows=[])]
        answers += [
            answered(rows=[{"id": "w", "state": state, "left": left}])
            for state, left in (("ready", 0), ("draining", 1), ("draining", 0))
        ]
        code, _ = run(answers, *["drain", "worker", "w", "within", "9", "s"])
        assert code == cli.EXIT_DONE
        assert capsys.readouterr().err == "1 left\n0 left\n"

    def test_drain_that_exceeds_its_time_has_its_exit_code(self, monkeypatch):
        monkeypatch.setattr(cli, "PROGRESS_INTERVAL_S", 0)
        monkeypatch.setattr(cli, "COMPLETION_GRACE_S", 0.01)
        answers = [answered(rows=[]), answered(rows=[{"left": 1}])]
        code, _ = run(answers, *["drain", "worker", "w", "within", "1", "ms"])
        assert code == cli.EXIT_LATE


class TestApply:
    def test_sends_the_version_that_was_read(self, tmp_path):
        path = tmp_path / "site.json"
        path.write_text('{"teams": []}')
        answers = [answered(), answered(changed=True, difference=[])]
        code, requests = run(answers, "apply", str(path), "--dry-run")
        assert code == cli.EXIT_DONE
        assert requests[1][2]["expected_version"] == 3
        assert requests[1][2]["dry_run"] is True

    def test_bad_json_names_the_file(self, tmp_path, capsys):
        path = tmp_path / "site.json"
        path.write_text("{")
        assert run([answered()], "apply", str(path))[0] == cli.EXIT_USAGE
        assert "site.json" in capsys.readouterr().err
