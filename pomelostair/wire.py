"""Encoding of typed messages between the system's processes.

A message type is an attrs class or a data class registered under a tag. On
the wire, a message is a MessagePack array of the envelope's fields in order;
two of them are the tag and the encoded body.
"""

from collections.abc import Callable
from collections.abc import Sequence
import typing

import attrs
import msgspec

from pomelostair import errors

MAX_MESSAGE_BYTES = 17 * 1024 * 1024

_T = typing.TypeVar("_T")
_types: dict[str, type] = {}
_tags: dict[type, str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder] = {}
_defaults: dict[type, tuple[tuple[str, object], ...]] = {}
_encoder = msgspec.msgpack.Encoder()
# msgspec raises a RecursionError for deeply nested data.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)


@attrs.frozen
class Envelope:
    """Routing metadata and encoded body of one message.

    Attributes:
        tag: Registered tag of the message type.
        sender: Name of the sending process.
        incarnation: Random id of the sending process, new after each restart.
        reply_to: Bus address at which the sender receives.
        correlation: Id of the call that the message starts or answers; empty
            for one-way messages.
        answer: Whether the message answers a call made by the receiver.
        body: Encoded message.
    """

    tag: str
    sender: str
    incarnation: str
    reply_to: str
    correlation: str
    answer: bool
    body: msgspec.Raw


_envelope_decoder = msgspec.msgpack.Decoder(
    tuple[str, str, str, str, str, bool, msgspec.Raw]
)


def message(tag: str) -> Callable[[type[_T]], type[_T]]:
    """Registers an attrs or data class as the message type of `tag`.

    Args:
        tag: Name of the type on the wire; unique in the program.

    Returns:
        A class decorator that returns the class unchanged.
    """

    def register(cls: type[_T]) -> type[_T]:
        existing = _types.setdefault(tag, cls)
        if existing is not cls and existing.__qualname__ != cls.__qualname__:
            raise errors.MessageError(
                f"tag {tag} is already registered for another message type"
            )
        _types[tag] = cls
        _tags[cls] = tag
        _decoders[tag] = msgspec.msgpack.Decoder(cls)
        if attrs.has(cls):
            _defaults[cls] = tuple(
                (field.name, field.default) for field in attrs.fields(cls)
            )
        return cls

    return register


def encode_body(body: object) -> bytes:
    """Returns a registered message's body as MessagePack."""
    return _encoder.encode(body)


def encode_sparse(body: object) -> bytes:
    """Returns a message's body without the fields equal to their defaults.

    The result is shorter than that of `encode_body` and decodes to the same
    message. Stored data uses `encode_body` instead, so that a later change of
    a default can't change its meaning.
    """
    defaults = _defaults.get(type(body))
    if defaults is None:
        return _encoder.encode(body)
    return _encoder.encode(
        {
            name: value
            for name, default in defaults
            if (value := getattr(body, name)) != default
        }
    )


def tag_of(body: object) -> str:
    """Returns the tag of a message.

    Raises:
        MessageError: The type of the message is not registered.
    """
    tag = _tags.get(type(body))
    if tag is None:
        raise errors.MessageError(
            f"{type(body)} is not registered; decorate it with wire.message"
        )
    return tag


def encode(envelope: Envelope) -> bytes:
    """Returns an envelope, with its body, encoded for the wire."""
    return _encoder.encode(
        (
            envelope.tag,
            envelope.sender,
            envelope.incarnation,
            envelope.reply_to,
            envelope.correlation,
            envelope.answer,
            envelope.body,
        )
    )


def decode(data: bytes) -> tuple[Envelope, object]:
    """Decodes a message received from a peer.

    Returns:
        The envelope and the typed message.

    Raises:
        MessageError: The bytes are malformed or the message type is unknown.
    """
    try:
        envelope = Envelope(*_envelope_decoder.decode(data))
        return envelope, decode_body(envelope.tag, envelope.body)
    except _DECODE_ERRORS as error:
        raise errors.MessageError(f"malformed message: {error}") from error


def decode_body(tag: str, body: bytes | msgspec.Raw) -> object:
    """Decodes the body of a message by its tag.

    Raises:
        MessageError: The tag is unknown, or the body is malformed or does
            not match the message type.
    """
    decoder = _decoders.get(tag)
    if decoder is None:
        raise errors.MessageError(f"no message type has the tag {tag!r}")
    try:
        return decoder.decode(body)
    except _DECODE_ERRORS as error:
        raise errors.MessageError(f"malformed {tag}: {error}") from error


def tags() -> tuple[str, ...]:
    """Returns all registered tags, sorted."""
    return tuple(sorted(_types))


def first_fitting(
    items: Sequence[_T], size: Callable[[_T], int], limit: int
) -> Sequence[_T]:
    """Returns the first items that fit into one message, at least one.

    Args:
        items: Parts of a message.
        size: Returns the size of an item.
        limit: Largest size of all items together.
    """
    total = 0
    for number, item in enumerate(items):
        total += size(item)
        if number and total > limit:
            return items[:number]
    return items
