"""Write the tables of result codes and events into the documents."""

from pathlib import Path

from currantwell.reference import event_table, result_code_table

DOCS = Path(__file__).parent.parent / "docs"
BEGIN = "<!-- table -->\n"


def write_table(path: Path, table: str) -> None:
    """Replace all that follows the mark in a document by a table."""
    text, _, _ = path.read_text(encoding="utf-8").partition(BEGIN)
    path.write_text(text + BEGIN + table, encoding="utf-8")


write_table(DOCS / "RESULT_CODES.md", result_code_table())
write_table(DOCS / "EVENTS.md", event_table())
