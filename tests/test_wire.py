from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from pomelostair import errors
from pomelostair import messages
from pomelostair import wire
from tests import nested


def encode_message(message, tag=None):
    return wire.encode(
        wire.Envelope(
            tag=tag or wire.tag_of(message),
            sender="a",
            incarnation="1",
            reply_to="tcp://127.0.0.1:1",
            correlation="c",
            answer=False,
            body=msgspec.Raw(wire.encode_body(message)),
        )
    )


class TestDecode:
    def test_round_trip(self):
        message = messages.Served(200, (("a", "b"),), b"\x00body")
        envelope, decoded = wire.decode(encode_message(message))
        assert decoded == message
        assert envelope.sender == "a"

    def test_unknown_tag(self):
        with pytest.raises(errors.MessageError, match="tag"):
            wire.decode(encode_message(messages.Nudge(1), tag="none"))

    @given(strategies.binary())
    def test_arbitrary_bytes_raise_an_error(self, data):
        with pytest.raises(errors.MessageError):
            wire.decode(data)

    @given(strategies.data())
    def test_corrupted_message_decodes_or_raises_message_error(self, data):
        encoded = bytearray(encode_message(messages.Nudge(7)))
        index = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[index] = data.draw(strategies.integers(0, 255))
        try:
            wire.decode(bytes(encoded))
        except errors.MessageError:
            return


class TestMessage:
    def test_deeply_nested_message_raises_message_error(self):
        """It ended the task that receives all messages of a process."""
        data = wire.encode(
            wire.Envelope(
                "served", "a", "1", "", "", False, msgspec.Raw(nested.MSGPACK)
            )
        )
        with pytest.raises(errors.MessageError):
            wire.decode(data)

    def test_tag_cannot_be_registered_twice(self):
        with pytest.raises(errors.MessageError):
            wire.message("nudge")(messages.Served)


class TestEncodeSparse:
    @given(
        strategies.builds(
            messages.Announcement,
            name=strategies.text(max_size=5),
            zone=strategies.just("patan"),
            cell=strategies.just("main"),
            state=strategies.sampled_from(messages.TargetState),
            running=strategies.integers(0, 2),
            service_ms=strategies.sampled_from([0.0, 1.5]),
            waits_ms=strategies.sampled_from([(), (0.0, 1.0)]),
        )
    )
    def test_decodes_to_the_same_message(self, message):
        sparse = wire.encode_sparse(message)
        assert wire.decode_body("announcement", sparse) == message
        assert len(sparse) <= len(wire.encode_body(message))

    def test_leaves_defaults_out(self):
        ack = messages.HeartbeatAck(epoch=3)
        assert msgspec.msgpack.decode(wire.encode_sparse(ack)) == {"epoch": 3}
