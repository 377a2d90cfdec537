"""Tables of text for the command-line tool."""

GAP = "  "


def render(rows: list[dict[str, object]]) -> str:
    """Returns rows as aligned columns under a line of column names."""
    if not rows:
        return ""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(name), *(len(line[index]) for line in cells))
        for index, name in enumerate(columns)
    ]
    lines = [columns, *cells]
    return "\n".join(_line(line, widths) for line in lines)


def _line(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return GAP.join(padded).rstrip()


def _cell(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
    return str(value)
