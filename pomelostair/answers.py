"""The answer to an operator's command."""

import attrs


@attrs.frozen
class Answer:
    """Answer to a command or query in the operators' language.

    Attributes:
        message: Summary of the result for the operator.
        version: Version of the configuration in force at the entry.
        rows: Rows of the result, each a column's value by its name.
    """

    message: str
    version: int
    rows: list[dict[str, object]] = attrs.field(factory=list)
