import msgspec
import pytest

from pomelostair import codec
from tests import nested


class TestDecode:
    @pytest.mark.parametrize(
        "data", [nested.json_object(), b'{"a":"\xff"}', b'{"a":' + 5000 * b"9"]
    )
    def test_malformed_json_raises_msgspec_error(self, data):
        with pytest.raises(msgspec.MsgspecError):
            codec.decode_json(data, dict[str, str])

    @pytest.mark.parametrize("data", [nested.MSGPACK, b"\x81\xa1a\xa1\xff"])
    def test_malformed_msgpack_raises_msgspec_error(self, data):
        with pytest.raises(msgspec.MsgspecError):
            codec.decode_msgpack(data, dict[str, str])
