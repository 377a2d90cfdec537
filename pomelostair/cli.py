"""The command-line tool `pomelostair`."""

import argparse
import json
import sys
from urllib import error
from urllib import request

DEFAULT_ENTRY = "127.0.0.1:8000"
TIMEOUT_S = 30.0
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit code."""
    options = _parser().parse_args(arguments)
    try:
        return options.run(options)
    except error.URLError as failure:
        print(
            f"no entry answers at {options.entry}: {failure.reason}; "
            "set --entry to the balancer's address",
            file=sys.stderr,
        )
        return EXIT_UNREACHABLE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="pomelostair", description=__doc__)
    parser.add_argument(
        "--entry", default=DEFAULT_ENTRY, help="IP:PORT of any entry"
    )
    topics = parser.add_subparsers(required=True)
    job = topics.add_parser("job", help="submit, show and cancel jobs")
    verbs = job.add_subparsers(required=True)
    submit = verbs.add_parser("submit", help="submit a job from a JSON file")
    submit.add_argument("file", help="JSON file, - for standard input")
    submit.set_defaults(run=_submit)
    show = verbs.add_parser("show", help="show a job")
    show.add_argument("id")
    show.set_defaults(run=_show)
    cancel = verbs.add_parser("cancel", help="cancel a job")
    cancel.add_argument("id")
    cancel.set_defaults(run=_cancel)
    return parser


def _submit(options: argparse.Namespace) -> int:
    if options.file == "-":
        data = sys.stdin.buffer.read()
    else:
        with open(options.file, "rb") as file:
            data = file.read()
    return _send(options, "POST", "/v1/jobs", data)


def _show(options: argparse.Namespace) -> int:
    return _send(options, "GET", f"/v1/jobs/{options.id}")


def _cancel(options: argparse.Namespace) -> int:
    return _send(options, "DELETE", f"/v1/jobs/{options.id}")


def _send(
    options: argparse.Namespace,
    method: str,
    target: str,
    data: bytes | None = None,
) -> int:
    url = f"http://{options.entry}{target}"
    call = request.Request(url, data=data, method=method)
    try:
        with request.urlopen(call, timeout=TIMEOUT_S) as response:
            print(json.dumps(json.load(response), indent=2))
            return 0
    except error.HTTPError as refused:
        print(refused.read().decode(), file=sys.stderr)
        return EXIT_REFUSED


if __name__ == "__main__":
    sys.exit(main())
