"""Limits that the HTTP servers of the platform's processes share."""

from pomelostair import http

MAX_HEADERS_BYTES = 8 * 1024
RECEIVE_BYTES = 16 * 1024
MAX_REJECTING_CONNECTIONS = 16


def create(request_timeout_s: float, **limits) -> http.Limits:
    """Returns the limits of a server whose responses to GET have no effect.

    Args:
        request_timeout_s: Timeout for a head, for a body and for a response.
        **limits: Further fields of `http.Limits`.
    """
    return http.Limits(
        max_rejecting_connections=MAX_REJECTING_CONNECTIONS,
        max_headers_bytes=MAX_HEADERS_BYTES,
        receive_bytes=RECEIVE_BYTES,
        gets_have_no_effect=True,
        headers_timeout_s=request_timeout_s,
        body_timeout_s=request_timeout_s,
        write_timeout_s=request_timeout_s,
        **limits,
    )
