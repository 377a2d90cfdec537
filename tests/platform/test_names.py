import json

import pytest

from pomelostair import errors
from pomelostair import pipeline
from pomelostair import resources
from pomelostair.platform import names

STEP = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900}
BEAT = {
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


def submit(**body):
    return names.submission(json.dumps(body).encode(), "5c", "q", 99)


class TestSubmission:
    def test_every_field_is_decoded(self):
        found = submit(
            spec="text",
            steps=[
                STEP,
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
        assert found.payload == "text"
        assert (found.occurrences, found.due_ms(2)) == (3, 1100)
        assert found.stages[0].demand == resources.Resources(500, 256, 0)
        assert found.stages[1] == pipeline.Stage(
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
        ],
    )
    def test_malformed_is_a_typed_error(self, body):
        with pytest.raises(errors.MessageError):
            names.submission(body, "5c", "q", 99)


class TestHeartbeat:
    def test_rack_is_the_last_label(self):
        notice = names.heartbeat(json.dumps(BEAT).encode(), "i-1")
        assert notice.rack == "r1-3"
        assert notice.incarnation == 17
        assert notice.capacity == resources.Resources(16000, 32768, 0)
        assert not notice.draining

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"state": 3},
            {"capacity": "large"},
            {"born": 1.5},
            {"address": None},
        ],
    )
    def test_other_writers_are_refused(self, change):
        body = json.dumps({**BEAT, **change}).encode()
        with pytest.raises(errors.MessageError):
            names.heartbeat(body, "i-1")


class TestConfiguration:
    def test_routes_become_queues(self):
        table = names.configuration(
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

    def test_unreadable_is_a_typed_error(self):
        with pytest.raises(errors.MessageError):
            names.configuration(b'{"version":"new"}')
