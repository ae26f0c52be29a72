"""Generates the tables of result codes and events for the documentation."""

from collections.abc import Iterable, Sequence

from .codes import MEANINGS, ResultCode, http_status
from .events import catalogue
from .exit_codes import exit_code

__all__ = ["event_table", "result_code_table"]


def result_code_table() -> str:
    """Return a Markdown table of all result codes."""
    head = ("code", "name", "HTTP status", "exit code", "meaning")
    rows = [
        (code.value, code.name, http_status(code), int(exit_code(code)), MEANINGS[code])
        for code in ResultCode
    ]
    return _table(head, rows)


def event_table() -> str:
    """Return a Markdown table of all events."""
    head = ("event", "name", "level", "meaning")
    rows = [
        (event.number, event.name, event.level.name.lower(), event.meaning)
        for event in catalogue()
    ]
    return _table(head, rows)


def _table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    lines = [_row(head), _row(["---"] * len(head)), *(_row(row) for row in rows)]
    return "\n".join(lines) + "\n"


def _row(cells: Sequence[object]) -> str:
    return f"| {' | '.join(str(cell) for cell in cells)} |"
