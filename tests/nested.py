"""Documents that are nested too deeply to be decoded."""

DEPTH = 10_000
MSGPACK = b"\x81\xa1x" + DEPTH * b"\x91" + b"\xc0"


def json_object(**members):
    """Returns an object with encoded members and one deeply nested one."""
    nested = DEPTH * b"[" + DEPTH * b"]"
    pairs = [b'"%s":%s' % (n.encode(), v) for n, v in members.items()]
    return b"{" + b",".join([*pairs, b'"x":' + nested]) + b"}"
