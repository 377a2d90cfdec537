"""Client of an entry for the command-line tool."""

import dataclasses
import http.client
import json
from urllib import error
from urllib import request

import attrs

DEFAULT_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class Answered:
    """An entry did what it was asked; `body` is its JSON object."""

    body: dict


@dataclasses.dataclass(frozen=True)
class Refused:
    """An entry refused.

    Attributes:
        status: HTTP status.
        kind: Kind of the refusal.
        message: Sentence that names the remedy.
        ran: `no`, or `unknown` if the order may have been carried out.
    """

    status: int
    kind: str
    message: str
    ran: str


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No entry was reached; nothing was ordered."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The order may have reached an entry; no whole answer came."""

    reason: str


Result = Answered | Refused | Unreachable | Lost


@attrs.frozen
class EntryClient:
    """Sends orders to one entry, or to the balancer before the entries.

    Attributes:
        address: `IP:PORT`.
        timeout_s: Longest wait for one answer.
    """

    address: str
    timeout_s: float = DEFAULT_TIMEOUT_S

    def run(self, sentence: str, expected: int | None = None) -> Result:
        """Runs one sentence of the command language."""
        body = {"command": sentence, "expected_version": expected}
        return self.send("POST", "/v1/commands", body)

    def send(
        self, method: str, target: str, body: object | None = None
    ) -> Result:
        """Sends one request.

        Args:
            method: HTTP method.
            target: Path.
            body: What to send as JSON; bytes are sent as they are.
        """
        data = body if isinstance(body, bytes) else None
        if body is not None and data is None:
            data = json.dumps(body).encode()
        try:
            outgoing = request.Request(
                f"http://{self.address}{target}", data=data, method=method
            )
            with request.urlopen(outgoing, timeout=self.timeout_s) as response:
                return _answered(response.read())
        except error.HTTPError as refused:
            return _refused(refused)
        except error.URLError as failure:
            return Unreachable(str(failure.reason))
        except (http.client.InvalidURL, ValueError) as failure:
            return Unreachable(str(failure))
        except (OSError, http.client.HTTPException) as failure:
            return Lost(str(failure) or type(failure).__name__)


def _answered(data: bytes) -> Result:
    try:
        body = json.loads(data)
    except ValueError:
        return Lost("the answer is not JSON")
    if not isinstance(body, dict):
        return Lost("the answer is not a JSON object")
    return Answered(body)


def _refused(refused: error.HTTPError) -> Result:
    try:
        body = json.loads(refused.read())
        return Refused(refused.code, body["kind"], body["message"], body["ran"])
    except (ValueError, KeyError, TypeError, OSError):
        message = f"status {refused.code}; is this an entry of pomelostair?"
        return Refused(refused.code, "unexpected", message, "unknown")
