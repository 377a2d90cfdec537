"""Decoding of JSON and MessagePack that other programs wrote."""

import typing

import msgspec

# Most characters of a name; as many as the platform has bytes in a key.
MAX_NAME_CHARACTERS = 200
# Integers up to this size are exact in JSON, and MessagePack can encode them.
MAX_INTEGER = 2**53
# Types of numbers in data of other programs. Python decodes JSON integers of
# any size; one that is too large would fail later, when it is sent on.
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Quantity = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
RequiredName = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]

_T = typing.TypeVar("_T")


def decode_json(data: bytes, cls: type[_T]) -> _T:
    """Decodes JSON into a type.

    Raises:
        msgspec.MsgspecError: The data is malformed.
    """
    return _decode(msgspec.json.decode, data, cls)


def decode_msgpack(data: bytes | msgspec.Raw, cls: type[_T]) -> _T:
    """Decodes MessagePack into a type.

    Raises:
        msgspec.MsgspecError: The data is malformed.
    """
    return _decode(msgspec.msgpack.decode, data, cls)


def _decode(decode, data: bytes | msgspec.Raw, cls: type[_T]) -> _T:
    """Decodes data; every error that data can cause becomes a MsgspecError.

    msgspec raises a `RecursionError` for deeply nested data, and a
    `UnicodeDecodeError` for a text that is not UTF-8.
    """
    try:
        return decode(data, type=cls)
    except msgspec.MsgspecError:
        raise
    except (RecursionError, ValueError) as error:
        raise msgspec.DecodeError(str(error)) from error
