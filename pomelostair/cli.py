"""The command-line tool `pomelostair`.

Exit codes: 0 done; 1 refused; 2 invalid command line, sentence or file; 3 no
entry reachable; 4 accepted, but not completed in time; 5 conflict with
another operator; 6 outcome unknown.
"""

import argparse
import json
import sys
import time

from pomelostair import command
from pomelostair import entryclient
from pomelostair import errors
from pomelostair import explain
from pomelostair import prompt
from pomelostair import texttable

DEFAULT_ENTRY = "127.0.0.1:8000"
PROGRESS_INTERVAL_S = 0.5
# Added to the time that a command allows, before the tool stops waiting.
COMPLETION_GRACE_S = 5.0

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_LATE = 4
EXIT_CONFLICT = 5
EXIT_UNKNOWN = 6

_EPILOG = """\
WORDS is one sentence of the command language, or one of
  apply FILE [--dry-run]     put a file of declarations in force (- for stdin)
  job submit FILE            submit a job from a JSON file (- for stdin)
  job show ID, job cancel ID
  explain ID FILE            explain from log lines why a request failed,
                             was delayed or ran again (- for stdin)
  prompt                     read sentences interactively
"""


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit code."""
    options = _parser().parse_args(arguments)
    try:
        return Tool(options).run(options.words)
    except KeyboardInterrupt:
        print(
            "interrupted; an accepted command remains in force", file=sys.stderr
        )
        return EXIT_UNKNOWN
    except BrokenPipeError:
        return EXIT_DONE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pomelostair",
        description="Runs queries and commands through any entry.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--entry", default=DEFAULT_ENTRY, help="IP:PORT of any entry"
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON in place of tables"
    )
    parser.add_argument(
        "--expect",
        type=int,
        metavar="VERSION",
        help="refuse the change unless this configuration version is in force",
    )
    parser.add_argument(
        "--no-wait",
        action="store_true",
        help="return as soon as a drain, stop or shed is accepted",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=entryclient.DEFAULT_TIMEOUT_S,
        metavar="S",
        help="timeout of each request, in seconds",
    )
    parser.add_argument("words", nargs=argparse.REMAINDER, metavar="WORDS")
    return parser


class Tool:
    """Runs one command line.

    Args:
        options: The parsed options.
    """

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._client = entryclient.EntryClient(options.entry, options.timeout)

    def run(self, words: list[str]) -> int:
        """Runs a sentence or another command and returns the exit code."""
        match words:
            case [] | ["prompt"]:
                return prompt.run(self.sentence)
            case ["apply", *rest]:
                return self._apply(rest)
            case ["job", "submit", path]:
                return self._submit(path)
            case ["job", "show", job]:
                return self._send("GET", f"/v1/jobs/{job}")
            case ["job", "cancel", job]:
                return self._send("DELETE", f"/v1/jobs/{job}")
            case ["explain", request, path]:
                return self._explain(request, path)
            case ["explain", *_]:
                return _usage_error("write explain ID FILE")
            case ["job", *_]:
                return _usage_error(
                    "write job submit FILE, job show ID or cancel ID"
                )
        return self.sentence(" ".join(words))

    def sentence(self, text: str) -> int:
        """Runs one sentence, prints the answer and returns the exit code."""
        try:
            sentence = command.parse(text)
        except errors.CommandError as error:
            print(f"{text}\n{' ' * (error.column - 1)}^", file=sys.stderr)
            print(error, file=sys.stderr)
            return EXIT_USAGE
        result = self._client.run(
            command.format_sentence(sentence), self._options.expect
        )
        code = self._print_result(result)
        if code != EXIT_DONE or self._options.no_wait:
            return code
        return self._wait_for_completion(sentence)

    def _wait_for_completion(self, sentence: command.Sentence) -> int:
        match sentence:
            case command.Drain(target=target, within_ms=within_ms):
                query = f"drains where id = {json.dumps(target)}"
                return self._wait_until_done(query, within_ms / 1000)
            case command.Stop(within_ms=within_ms, plan=False):
                return self._wait_until_done("stop status", within_ms / 1000)
        return EXIT_DONE

    def _wait_until_done(self, query: str, within_s: float) -> int:
        """Prints the remaining work until none is left or the time is over."""
        deadline = time.monotonic() + within_s + COMPLETION_GRACE_S
        printed = None
        while time.monotonic() < deadline:
            remaining = self._remaining_work(query)
            if remaining != printed and remaining is not None:
                print(f"{remaining} left", file=sys.stderr)
            printed = remaining
            if remaining == 0:
                return EXIT_DONE
            time.sleep(PROGRESS_INTERVAL_S)
        print(
            "not completed in time; the command remains in force",
            file=sys.stderr,
        )
        return EXIT_LATE

    def _remaining_work(self, query: str) -> int | None:
        """Returns the remaining work, None if unknown.

        It is also None while a target is still ready and accepts new work:
        zero would then not mean that the target is drained.
        """
        match self._client.run(query):
            case entryclient.Answered(body={"rows": list() as rows}):
                if any(row.get("state") == "ready" for row in rows):
                    return None
                return sum(int(row.get("left", 0)) for row in rows)
        return None

    def _apply(self, arguments: list[str]) -> int:
        paths = [word for word in arguments if word != "--dry-run"]
        if len(paths) != 1:
            return _usage_error("write apply FILE [--dry-run]")
        data = _read_file(paths[0])
        if data is None:
            return EXIT_USAGE
        try:
            declarations = json.loads(data)
        except ValueError as error:
            return _usage_error(
                f"write one JSON document in {paths[0]}: {error}"
            )
        expected_version = self._options.expect
        if expected_version is None:
            current = self._client.send("GET", "/v1/declarations")
            if not isinstance(current, entryclient.Answered):
                return self._print_result(current)
            expected_version = current.body.get("version")
        body = {
            "declarations": declarations,
            "expected_version": expected_version,
            "dry_run": "--dry-run" in arguments,
        }
        return self._print_result(
            self._client.send("PUT", "/v1/declarations", body)
        )

    def _submit(self, path: str) -> int:
        data = _read_file(path)
        if data is None:
            return EXIT_USAGE
        return self._send("POST", "/v1/jobs", data)

    def _explain(self, request_id: str, path: str) -> int:
        data = _read_file(path)
        if data is None:
            return EXIT_USAGE
        lines = explain.parse_lines(
            data.decode("utf-8", "replace").splitlines()
        )
        explanation = explain.explain(lines, request_id)
        first_s = explanation.lines[0].at_s if explanation.lines else 0.0
        for line in explanation.lines:
            print(
                f"{line.at_s - first_s:9.3f} s  {line.process}: "
                f"{line.event.value.text} {line.details}"
            )
        for cause in explanation.causes:
            print(f"cause: {cause}")
        return EXIT_DONE if explanation.lines else EXIT_REFUSED

    def _send(self, method: str, target: str, data: bytes | None = None) -> int:
        return self._print_result(self._client.send(method, target, data))

    def _print_result(self, result: entryclient.Result) -> int:
        match result:
            case entryclient.Answered(body=body):
                self._print_body(body)
                return EXIT_DONE
            case entryclient.Refused():
                return self._print_refusal(result)
            case entryclient.Unreachable(reason=reason):
                print(
                    f"no entry reachable at {self._options.entry}: {reason}; "
                    "set --entry to the balancer's address",
                    file=sys.stderr,
                )
                return EXIT_UNREACHABLE
            case entryclient.AnswerLost(reason=reason):
                print(
                    f"no complete answer received: {reason}; query the current "
                    "state before repeating the command",
                    file=sys.stderr,
                )
                return EXIT_UNKNOWN

    def _print_refusal(self, refused: entryclient.Refused) -> int:
        if self._options.json:
            fields = {
                "kind": refused.kind,
                "message": refused.message,
                "ran": refused.ran,
            }
            print(json.dumps(fields), file=sys.stderr)
        else:
            print(f"{refused.kind}: {refused.message}", file=sys.stderr)
        if refused.kind == "conflict":
            return EXIT_CONFLICT
        if refused.ran != "no":
            return EXIT_UNKNOWN
        return EXIT_USAGE if refused.status == 400 else EXIT_REFUSED

    def _print_body(self, body: dict) -> None:
        rows = body.get("rows", body.get("difference"))
        if self._options.json or not isinstance(rows, list):
            print(json.dumps(body, indent=2))
            return
        if rows:
            print(texttable.render(rows))
        print(body.get("message", _version_message(body)))


def _version_message(body: dict) -> str:
    if body.get("changed"):
        return f"accepted as version {body['version']}"
    return f"version {body['version']} is in force and unchanged"


def _read_file(path: str) -> bytes | None:
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        _usage_error(
            f"cannot read {path}: {error.strerror}; name a readable file"
        )
        return None


def _usage_error(remedy: str) -> int:
    print(remedy, file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
