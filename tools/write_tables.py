"""Writes the tables of result codes and events into the documents."""

from pathlib import Path

from currantwell.reference import event_table, result_code_table

DOCS = Path(__file__).parent.parent / "docs"
TABLE_MARKER = "<!-- table -->\n"


def write_table(path: Path, table: str) -> None:
    """Replace everything after the table marker of a document with a table."""
    text, _, _ = path.read_text(encoding="utf-8").partition(TABLE_MARKER)
    path.write_text(text + TABLE_MARKER + table, encoding="utf-8")


write_table(DOCS / "RESULT_CODES.md", result_code_table())
write_table(DOCS / "EVENTS.md", event_table())
