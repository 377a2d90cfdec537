import json

import pytest

from pomelostair import declaration
from pomelostair import errors
from pomelostair import messages


def parse(**document):
    return declaration.parse(json.dumps(document).encode())


class TestParse:
    def test_document_with_all_sections(self):
        parsed = parse(
            services=[{"name": "rozlicz", "idempotent": True}],
            teams=[{"name": "netting", "weight": 2, "cores": 64}],
            limits={"batch_share": 0.5},
            urgencies=[{"kind": "wear-watch", "urgency": "normal"}],
        )
        assert parsed.teams[0].cores == 64
        assert parsed.limits.batch_share == 0.5
        urgency = parsed.urgency_of("wear-watch", messages.Urgency.BATCH)
        assert urgency is messages.Urgency.NORMAL
        other = parsed.urgency_of("fit", messages.Urgency.BATCH)
        assert other is messages.Urgency.BATCH

    @pytest.mark.parametrize(
        ("document", "key"),
        [
            ({"colour": 1}, "$.colour"),
            ({"limits": {"batch_share": 2}}, "$.limits.batch_share"),
            ({"limits": {"class_weights": [1]}}, "$.limits.class_weights"),
            ({"limits": {"queue_per_slot": "9"}}, "$.limits.queue_per_slot"),
            ({"teams": [{"weight": 1}]}, "$.teams.name"),
            ({"teams": [{"name": "a", "cores": -1}]}, "$.teams.cores"),
            ({"teams": [{"name": "a"}, {"name": "a"}]}, "$.teams"),
            (
                {"urgencies": [{"kind": "a", "urgency": "soon"}]},
                "$.urgencies.urgency",
            ),
        ],
    )
    def test_error_names_the_invalid_key(self, document, key):
        with pytest.raises(errors.SettingsError) as caught:
            parse(**document)
        assert caught.value.key == key
        assert caught.value.remedy


class TestDifference:
    def test_lists_added_removed_and_changed_entries(self):
        before = parse(teams=[{"name": "a"}, {"name": "b"}])
        after = parse(
            teams=[{"name": "b"}, {"name": "c"}], limits={"batch_share": 0.5}
        )
        lines = declaration.difference(before, after)
        keys = [line.key for line in lines]
        assert keys == ["limits/batch_share", "teams/a", "teams/c"]
        assert (lines[0].before, lines[0].after) == ("1.0", "0.5")
        assert lines[1].after == ""

    def test_equal_declarations_have_no_difference(self):
        assert declaration.difference(parse(), parse()) == ()
