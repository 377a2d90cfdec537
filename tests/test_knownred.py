import pytest

from tests import knownred

ENTRY = """\
- test: tests/test_a.py::TestA::test_b
  command: make test (no seed)
  seen: failed once
  issue: 2
"""


class TestParse:
    def test_entries(self):
        other = ENTRY.replace("tests/test_a.py::TestA::test_b", "none yet")
        first, second = knownred.parse(ENTRY + other)
        assert first.test == "tests/test_a.py::TestA::test_b"
        assert first.is_pytest
        assert not second.is_pytest
        assert second.issue == 2

    @pytest.mark.parametrize(
        "text",
        [
            "tests/test_a.py::TestA::test_b\n",
            ENTRY.replace("- test", "  test"),
            ENTRY.replace("  seen: failed once\n", ""),
            ENTRY.replace("failed once", ""),
            ENTRY.replace("issue: 2", "issue: two"),
            ENTRY.replace("command", "order"),
            ENTRY + "- test: none\n",
        ],
    )
    def test_other_layouts_are_rejected(self, text):
        with pytest.raises(ValueError):
            knownred.parse(text)


class TestList:
    def test_project_list_has_the_layout(self):
        for entry in knownred.load():
            path = entry.test.partition("::")[0]
            if entry.is_pytest:
                assert (knownred.PATH.parent / path).is_file()
