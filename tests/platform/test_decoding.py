import json

import pytest

from pomelostair import errors
from pomelostair import pipeline
from pomelostair import resources
from pomelostair.platform import decoding
from tests import nested

STEP_BODY = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900}
HEARTBEAT_BODY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "maz-a",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seq": 4,
    "born": 17,
}


def decode(**body):
    return decoding.decode_submission(json.dumps(body).encode(), "5c", "q", 99)


class TestSubmission:
    def test_every_field_is_decoded(self):
        declaration = decode(
            spec="text",
            steps=[
                STEP_BODY,
                {
                    "count": 2,
                    "cpu": 2000,
                    "memMb": 1024,
                    "gpu": 1,
                    "estimateMs": 7000,
                    "after": [0],
                    "checkpointing": True,
                    "gang": True,
                    "sameRack": True,
                    "requires": "b",
                    "affinity": "r1-3",
                    "antiAffinity": 2,
                    "speculative": True,
                    "perpetual": True,
                    "image": "i",
                    "targetMs": 17.5,
                    "fills": True,
                    "skippable": 1,
                },
            ],
            repeats=3,
            firstRunMs=1000,
            intervalMs=50,
        )
        assert declaration.payload == "text"
        assert (declaration.occurrences, declaration.due_ms(2)) == (3, 1100)
        assert declaration.stages[0].demand == resources.Resources(500, 256, 0)
        assert declaration.stages[1] == pipeline.Stage(
            count=2,
            demand=resources.Resources(2000, 1024, 1),
            estimate_ms=7000,
            after=(0,),
            checkpointing=True,
            gang=True,
            same_rack=True,
            label="b",
            rack="r1-3",
            most_per_worker=2,
            speculative=True,
            lasting=True,
            image="i",
            latency_target_ms=17.5,
            filler=True,
            skippable=1,
        )

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"spec":"x"}',
            b'{"spec":"x","steps":[]}',
            b'{"spec":"x","steps":[{"count":"4"}]}',
            b'{"spec":"x","steps":[{"after":[0]}]}',
            b'{"spec":"x","steps":[{"count":20000}]}',
            b'{"spec":"\xff","steps":[{}]}',
            b'{"spec":"x","steps":[{"cpu":-4000}]}',
            b'{"spec":"x","steps":[{"memMb":-1}]}',
            b'{"spec":"x","steps":[{"targetMs":-1.5}]}',
            b'{"spec":"x","steps":[{}],"repeats":1000000000}',
            b'{"spec":"%s","steps":[{}]}' % (b"x" * 30_000),
            nested.json_object(spec=b'""', steps=b"[{}]"),
        ],
        ids=lambda body: body[:50].decode(errors="replace"),
    )
    def test_malformed_submission_raises_message_error(self, body):
        with pytest.raises(errors.MessageError):
            decoding.decode_submission(body, "5c", "q", 99)

    def test_repeated_submission_with_due_times_is_accepted(self):
        declaration = decode(
            steps=[{}], repeats=1_000_000, firstRunMs=1000, intervalMs=5000
        )
        assert declaration.occurrences == 1_000_000

    def test_row_of_the_largest_submission_fits_into_the_store(self):
        step = {**STEP_BODY, "requires": "b" * 40, "image": "i" * 40}
        body = {"spec": "x" * 4000, "steps": [step] * pipeline.MAX_STAGES}
        body["steps"][-1] = {**step, "after": list(range(63)), "affinity": "r"}
        data = json.dumps(body).encode()
        padding = decoding.MAX_SUBMISSION_BYTES - len(data)
        body["spec"] += "x" * padding
        row = pipeline.encode(decode(**body))
        assert len(row) <= 48_000

    def test_escaped_spec_counts_unescaped(self):
        """A spec of 4,000 bytes takes 24,000 if each one is escaped."""
        steps = ',"steps":[{"cpu":500}]}'
        escaped = '{"spec":"' + "\\u0078" * 4000 + '"' + steps
        assert decode_text(escaped).payload == "x" * 4000
        largest = '{"spec":"' + "\\u0078" * 7900 + '"' + steps
        assert len(decode_text(largest).payload) == 7900
        for spec in ("x" * 24_000, "\\n" * 23_980):
            with pytest.raises(errors.MessageError, match="24000 bytes"):
                decode_text('{"spec":"' + spec + '"' + steps)


def decode_text(text):
    return decoding.decode_submission(
        text.encode(), "00000000000000a1", "fit", 1
    )


class TestHeartbeat:
    def test_last_label_becomes_rack(self):
        heartbeat = decoding.decode_heartbeat(
            json.dumps(HEARTBEAT_BODY).encode(), "i-1"
        )
        assert heartbeat.rack == "r1-3"
        assert heartbeat.incarnation == 17
        assert heartbeat.capacity == resources.Resources(16000, 32768, 0)
        assert not heartbeat.draining
        assert heartbeat.cold_left_ms == 0

    @pytest.mark.parametrize(("sent", "decoded"), [(700, 700), (-1, 0)])
    def test_time_until_a_cold_worker_is_warm_is_decoded(self, sent, decoded):
        body = json.dumps({**HEARTBEAT_BODY, "coldLeftMs": sent}).encode()
        heartbeat = decoding.decode_heartbeat(body, "i-1")
        assert heartbeat.cold_left_ms == decoded

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"state": 3},
            {"capacity": "large"},
            {"born": 1.5},
            {"address": None},
            {"service": ""},
            {"service": "s" * 10_000},
            {"zone": "z" * 10_000},
            {"labels": ["a"] * 10_000},
            {"labels": ["a" * 10_000]},
            {"address": "10.128.0.9"},
            {"address": "10.128.0.9:"},
            {"address": "10.128.0.9:0"},
            {"address": "10.128.0.9:65536"},
            {"address": "10.128.0.9:-1"},
            {"address": "10.128.0.9:\u0663"},
            {"address": "10.128.0.9:" + "9" * 5000},
            {"address": ":8080"},
            {"address": "0.0.0.0:8080"},
            {"address": "a b:8080"},
            {"address": "\u0000:8080"},
            {"born": 2**64},
            {"born": -1},
            {"seq": 2**64},
            {"clockMs": 2**64},
            {"remainingMs": 2**64},
            {"coldLeftMs": "700"},
            {"capacity": {"cpu": 2**64}},
            {"capacity": {"cpu": -1000, "memMb": 1}},
            {"capacity": {"memMb": -1}},
            {"capacity": {"gpu": 10**19}},
        ],
    )
    def test_invalid_field_raises_message_error(self, change):
        body = json.dumps({**HEARTBEAT_BODY, **change}).encode()
        with pytest.raises(errors.MessageError):
            decoding.decode_heartbeat(body, "i-1")

    @pytest.mark.parametrize("worker", ["", "i" * 10_000])
    def test_unusable_id_raises_message_error(self, worker):
        with pytest.raises(errors.MessageError):
            decoding.decode_heartbeat(
                json.dumps(HEARTBEAT_BODY).encode(), worker
            )

    def test_deeply_nested_heartbeat_raises_message_error(self):
        """It was answered with 500, as an internal failure."""
        members = {n: json.dumps(v).encode() for n, v in HEARTBEAT_BODY.items()}
        with pytest.raises(errors.MessageError):
            decoding.decode_heartbeat(nested.json_object(**members), "i-1")


class TestConfiguration:
    def test_routes_are_decoded_to_queues(self):
        table = decoding.decode_configuration(
            json.dumps(
                {
                    "version": 7,
                    "routes": [
                        {
                            "name": "r",
                            "host": "a.example",
                            "pathPrefix": "/lohu/",
                            "service": "huvo",
                            "sloMs": 250,
                            "maxAttempts": 2,
                            "stretch": 1.5,
                            "advice": {"decisionMs": 5, "validMs": 3000},
                        },
                        {
                            "name": "longer",
                            "host": "a.example",
                            "pathPrefix": "/lohu/x/",
                            "service": "huvo",
                        },
                    ],
                    "services": [{"name": "huvo", "admissionCheck": True}],
                    "limits": {"headerBytes": 16384},
                }
            ).encode()
        )
        assert table.version == 7
        assert table.match("a.example:80", "/lohu/5c").name == "r"
        assert table.match("A.example", "/lohu/x/5c").name == "longer"
        assert table.match("b.example", "/lohu/5c") is None
        assert table.by_name("r").advice.valid_ms == 3000
        assert table.self_limiting == {"huvo"}

    @pytest.mark.parametrize(
        "data",
        [
            b'{"version":"new"}',
            b'{"version":18446744073709551616}',
            b'{"version":1,"routes":[{"name":"r","timeoutMs":1%s}]}'
            % (400 * b"0"),
            nested.json_object(version=b"7"),
        ],
        ids=["type", "version", "timeout", "nested"],
    )
    def test_malformed_configuration_raises_message_error(self, data):
        """A nested one ended the plug-in that watches the configuration."""
        with pytest.raises(errors.MessageError):
            decoding.decode_configuration(data)
