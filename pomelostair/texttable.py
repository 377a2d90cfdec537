"""Text tables for the command-line tool."""

COLUMN_SEPARATOR = "  "


def render(rows: list[dict[str, object]]) -> str:
    """Formats rows as aligned columns below a header line.

    Columns appear in the order in which the rows first use them; a missing or
    empty value is shown as `-`.
    """
    if not rows:
        return ""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(name), *(len(line[index]) for line in cells))
        for index, name in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(padded).rstrip()


def _format_cell(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
    return str(value)
