"""HTTP client of an entry, for the command-line tool."""

import dataclasses
import http.client
import json
from urllib import error
from urllib import request

import attrs

DEFAULT_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class Answered:
    """The request succeeded.

    Attributes:
        body: JSON object of the response.
    """

    body: dict


@dataclasses.dataclass(frozen=True)
class Refused:
    """The entry refused the request.

    Attributes:
        status: HTTP status.
        kind: Machine-readable kind of the refusal.
        message: Sentence that names the remedy.
        ran: `no`, or `unknown` if the request may have been executed.
    """

    status: int
    kind: str
    message: str
    ran: str


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No entry was reached, so the request had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """The request may have been executed; no complete answer arrived."""

    reason: str


Result = Answered | Refused | Unreachable | AnswerLost


@attrs.frozen
class EntryClient:
    """Sends requests to an entry or to the load balancer of the entries.

    Attributes:
        address: `IP:PORT` of the entry or load balancer.
        timeout_s: Timeout of a request.
    """

    address: str
    timeout_s: float = DEFAULT_TIMEOUT_S

    def run(self, sentence: str, expected_version: int | None = None) -> Result:
        """Runs a command.

        Args:
            sentence: Command in the command language.
            expected_version: Version of the configuration that the command
                requires, None for any.
        """
        body = {"command": sentence, "expected_version": expected_version}
        return self.send("POST", "/v1/commands", body)

    def send(
        self, method: str, target: str, body: object | None = None
    ) -> Result:
        """Sends one request.

        Args:
            method: HTTP method.
            target: Path with the query string.
            body: Body, sent as JSON; bytes are sent unchanged.
        """
        data = body if isinstance(body, bytes) else None
        if body is not None and data is None:
            data = json.dumps(body).encode()
        try:
            outgoing = request.Request(
                f"http://{self.address}{target}", data=data, method=method
            )
            with request.urlopen(outgoing, timeout=self.timeout_s) as response:
                return _parse_answer(response.read())
        except error.HTTPError as refused:
            return _parse_refusal(refused)
        except error.URLError as failure:
            return Unreachable(str(failure.reason))
        except (http.client.InvalidURL, ValueError) as failure:
            return Unreachable(str(failure))
        except (OSError, http.client.HTTPException) as failure:
            return AnswerLost(str(failure) or type(failure).__name__)


def _parse_answer(data: bytes) -> Result:
    try:
        body = json.loads(data)
    except ValueError:
        return AnswerLost("the answer is not JSON")
    if not isinstance(body, dict):
        return AnswerLost("the answer is not a JSON object")
    return Answered(body)


def _parse_refusal(error_response: error.HTTPError) -> Result:
    try:
        body = json.loads(error_response.read())
        return Refused(
            error_response.code, body["kind"], body["message"], body["ran"]
        )
    except (ValueError, KeyError, TypeError, OSError):
        message = (
            f"status {error_response.code}; is this an entry of pomelostair?"
        )
        return Refused(error_response.code, "unexpected", message, "unknown")
