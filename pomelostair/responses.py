"""HTTP responses that the servers of all roles share."""

from pomelostair import errors
from pomelostair import http
from pomelostair import metrics as metrics_module
from pomelostair import outcome

RAN_HEADER = "pomelostair-ran"

_HTTP_STATUS = {
    outcome.Kind.BAD_REQUEST: 400,
    outcome.Kind.UNKNOWN_SERVICE: 404,
    outcome.Kind.UNKNOWN_JOB: 404,
    outcome.Kind.CONFLICT: 409,
    outcome.Kind.DUPLICATE: 409,
    outcome.Kind.NEVER_FITS: 422,
    outcome.Kind.LIMITED: 429,
    outcome.Kind.QUOTA: 429,
    outcome.Kind.QUEUE_FULL: 503,
    outcome.Kind.INTERNAL: 500,
    outcome.Kind.TARGET_FAILED: 502,
    outcome.Kind.ANSWER_LOST: 504,
    outcome.Kind.DEADLINE: 504,
}
_DEFAULT_HTTP_STATUS = 503


def refusal_response(
    refused: outcome.Refused, status: int | None = None
) -> http.Response:
    """Returns the JSON response to a refused request.

    Args:
        refused: The refusal.
        status: HTTP status; by default the one of the refusal's kind.
    """
    if status is None:
        status = _HTTP_STATUS.get(refused.kind, _DEFAULT_HTTP_STATUS)
    headers = ((RAN_HEADER, refused.ran.value),)
    return http.json_response(status, refused, headers)


def error_response(error: errors.HttpError) -> http.Response:
    """Returns the JSON response to a malformed request or a server error."""
    kind = outcome.Kind(error.kind)
    ran = outcome.Ran.NO
    if kind is outcome.Kind.INTERNAL:
        ran = outcome.Ran.UNKNOWN
    refused = outcome.Refused(kind, str(error), ran)
    return refusal_response(refused, error.status)


def metrics_response(metrics: metrics_module.Metrics) -> http.Response:
    """Returns the metrics of a process in the Prometheus text format."""
    headers = (("content-type", "text/plain; version=0.0.4"),)
    return http.Response(200, headers, metrics.exposition())
