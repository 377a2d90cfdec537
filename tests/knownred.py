"""Reads the list of known failures, KNOWN-RED.txt."""

import pathlib

import attrs

PATH = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
KEYS = ("test", "command", "seen", "issue")
TEST_FOLDER = "tests/"


@attrs.frozen
class Entry:
    """A known failure.

    Attributes:
        test: Id of the failing test; other text if there is none yet.
        command: Command and seed that show the failure.
        seen: What was seen.
        issue: Number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: int

    @property
    def is_pytest(self) -> bool:
        """Whether the entry names a test of this project."""
        return self.test.startswith(TEST_FOLDER)


def parse(text: str) -> list[Entry]:
    """Returns the entries of a list.

    An entry consists of the lines `- test: ...`, `  command: ...`,
    `  seen: ...` and `  issue: N`, in this order.

    Raises:
        ValueError: A line does not follow this layout.
    """
    lines = text.splitlines()
    if len(lines) % len(KEYS):
        raise ValueError(f"write {len(KEYS)} lines for each entry")
    entries = []
    for start in range(0, len(lines), len(KEYS)):
        values = []
        for offset, key in enumerate(KEYS):
            prefix = f"  {key}: " if offset else f"- {key}: "
            line = lines[start + offset]
            if not line.startswith(prefix) or not line[len(prefix) :].strip():
                raise ValueError(
                    f"line {start + offset + 1}: write `{prefix}` and a value"
                )
            values.append(line[len(prefix) :].strip())
        entries.append(Entry(*values[:3], int(values[3])))
    return entries


def load() -> list[Entry]:
    """Returns the entries of the project's list."""
    return parse(PATH.read_text())
