"""Endpoints: an IP address and a port, written as `IP:PORT`."""

import ipaddress

MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def split(endpoint: str) -> tuple[str, int]:
    """Splits an endpoint into its IP address and its port.

    Raises:
        ValueError: It does not have the form `IP:PORT`.
    """
    host, _, port = endpoint.rpartition(":")
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > _MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise ValueError(f"the port is no number from 0 to {MAX_PORT}")
    ipaddress.ip_address(host)
    return host, int(port)


def is_reachable(endpoint: str) -> bool:
    """Returns whether other processes could connect to an endpoint."""
    try:
        host, port = split(endpoint)
    except ValueError:
        return False
    return port > 0 and not ipaddress.ip_address(host).is_unspecified
