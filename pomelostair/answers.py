"""Answers to the sentences of operators."""

import attrs


@attrs.frozen
class Answer:
    """Answer to a sentence.

    Attributes:
        message: What was found or changed, as a sentence.
        version: Version in force at the entry.
        rows: What was found.
    """

    message: str
    version: int
    rows: list[dict[str, object]] = attrs.field(factory=list)
