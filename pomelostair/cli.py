"""The command-line tool `pomelostair`.

Exit codes: 0 done; 1 refused; 2 bad command line, sentence or file; 3 no
entry reached; 4 accepted, but not finished in its time; 5 conflict with
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
GRACE_S = 5.0

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
  explain ID FILE            tell from log lines why a request failed, was
                             late or ran again (- for stdin)
  prompt                     read sentences interactively
"""


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit code."""
    options = _parser().parse_args(arguments)
    try:
        return Tool(options).run(options.words)
    except KeyboardInterrupt:
        print("interrupted; an accepted order stands", file=sys.stderr)
        return EXIT_UNKNOWN
    except BrokenPipeError:
        return EXIT_DONE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pomelostair",
        description="Asks and orders through any entry.",
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
        help="change only this version of the configuration",
    )
    parser.add_argument(
        "--no-wait",
        action="store_true",
        help="return when a drain, stop or shed is accepted",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=entryclient.DEFAULT_TIMEOUT_S,
        metavar="S",
        help="longest wait for one answer, in seconds",
    )
    parser.add_argument("words", nargs=argparse.REMAINDER, metavar="WORDS")
    return parser


class Tool:
    """Runs what one command line asks for.

    Args:
        options: The parsed options.
    """

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._client = entryclient.EntryClient(options.entry, options.timeout)

    def run(self, words: list[str]) -> int:
        """Runs a sentence or one of the other verbs."""
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
                return _usage("write explain ID FILE")
            case ["job", *_]:
                return _usage("write job submit FILE, job show ID or cancel ID")
        return self.sentence(" ".join(words))

    def sentence(self, text: str) -> int:
        """Runs one sentence and shows its answer."""
        try:
            sentence = command.parse(text)
        except errors.CommandError as error:
            print(f"{text}\n{' ' * (error.column - 1)}^", file=sys.stderr)
            print(error, file=sys.stderr)
            return EXIT_USAGE
        result = self._client.run(command.show(sentence), self._options.expect)
        code = self._show(result)
        if code != EXIT_DONE or self._options.no_wait:
            return code
        return self._wait(sentence)

    def _wait(self, sentence: command.Sentence) -> int:
        match sentence:
            case command.Drain(target=target, within_ms=within_ms):
                query = f"drains where id = {json.dumps(target)}"
                return self._follow(query, within_ms / 1000)
            case command.Stop(within_ms=within_ms, plan=False):
                return self._follow("stop status", within_ms / 1000)
        return EXIT_DONE

    def _follow(self, query: str, within_s: float) -> int:
        """Shows what is left until nothing is, or the time is over."""
        deadline = time.monotonic() + within_s + GRACE_S
        shown = None
        while time.monotonic() < deadline:
            left = self._left(query)
            if left != shown and left is not None:
                print(f"{left} left", file=sys.stderr)
            shown = left
            if left == 0:
                return EXIT_DONE
            time.sleep(PROGRESS_INTERVAL_S)
        print("not finished in its time; the order stands", file=sys.stderr)
        return EXIT_LATE

    def _left(self, query: str) -> int | None:
        """Returns what is left, None while a target still takes new work."""
        match self._client.run(query):
            case entryclient.Answered(body={"rows": list() as rows}):
                if any(row.get("state") == "ready" for row in rows):
                    return None
                return sum(int(row.get("left", 0)) for row in rows)
        return None

    def _apply(self, rest: list[str]) -> int:
        paths = [word for word in rest if word != "--dry-run"]
        if len(paths) != 1:
            return _usage("write apply FILE [--dry-run]")
        data = _read(paths[0])
        if data is None:
            return EXIT_USAGE
        try:
            wanted = json.loads(data)
        except ValueError as error:
            return _usage(f"write one JSON document in {paths[0]}: {error}")
        expected = self._options.expect
        if expected is None:
            current = self._client.send("GET", "/v1/declarations")
            if not isinstance(current, entryclient.Answered):
                return self._show(current)
            expected = current.body.get("version")
        body = {
            "declarations": wanted,
            "expected_version": expected,
            "dry_run": "--dry-run" in rest,
        }
        return self._show(self._client.send("PUT", "/v1/declarations", body))

    def _submit(self, path: str) -> int:
        data = _read(path)
        if data is None:
            return EXIT_USAGE
        return self._send("POST", "/v1/jobs", data)

    def _explain(self, request: str, path: str) -> int:
        data = _read(path)
        if data is None:
            return EXIT_USAGE
        lines = explain.read(data.decode("utf-8", "replace").splitlines())
        found = explain.explain(lines, request)
        begin = found.lines[0].at_s if found.lines else 0.0
        for line in found.lines:
            print(
                f"{line.at_s - begin:9.3f} s  {line.process}: "
                f"{line.event.value.text} {line.details}"
            )
        for cause in found.causes:
            print(f"cause: {cause}")
        return EXIT_DONE if found.lines else EXIT_REFUSED

    def _send(self, method: str, target: str, data: bytes | None = None) -> int:
        return self._show(self._client.send(method, target, data))

    def _show(self, result: entryclient.Result) -> int:
        match result:
            case entryclient.Answered(body=body):
                self._print(body)
                return EXIT_DONE
            case entryclient.Refused():
                return self._show_refused(result)
            case entryclient.Unreachable(reason=reason):
                print(
                    f"no entry answers at {self._options.entry}: {reason}; "
                    "set --entry to the balancer's address",
                    file=sys.stderr,
                )
                return EXIT_UNREACHABLE
            case entryclient.Lost(reason=reason):
                print(
                    f"no whole answer came: {reason}; ask what stands before "
                    "repeating",
                    file=sys.stderr,
                )
                return EXIT_UNKNOWN

    def _show_refused(self, refused: entryclient.Refused) -> int:
        if self._options.json:
            shown = {
                "kind": refused.kind,
                "message": refused.message,
                "ran": refused.ran,
            }
            print(json.dumps(shown), file=sys.stderr)
        else:
            print(f"{refused.kind}: {refused.message}", file=sys.stderr)
        if refused.kind == "conflict":
            return EXIT_CONFLICT
        if refused.ran != "no":
            return EXIT_UNKNOWN
        return EXIT_USAGE if refused.status == 400 else EXIT_REFUSED

    def _print(self, body: dict) -> None:
        rows = body.get("rows", body.get("difference"))
        if self._options.json or not isinstance(rows, list):
            print(json.dumps(body, indent=2))
            return
        if rows:
            print(texttable.render(rows))
        print(body.get("message", _applied(body)))


def _applied(body: dict) -> str:
    if body.get("changed"):
        return f"accepted as version {body['version']}"
    return f"version {body['version']} is in force and unchanged"


def _read(path: str) -> bytes | None:
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        _usage(f"name a readable file, {path} is not: {error.strerror}")
        return None


def _usage(remedy: str) -> int:
    print(remedy, file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
