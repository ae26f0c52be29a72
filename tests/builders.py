"""Builders of test data."""

from pathlib import Path

import msgspec

KEY_TEXT = "k" * 64 + "\n"


def settings_file(folder: Path, text: str) -> Path:
    """Write a settings file beside a good key file and a tokens file."""
    (folder / "hosts.key").write_text(KEY_TEXT)
    (folder / "tokens.ini").write_text("[teams]\n")
    path = folder / "host.ini"
    path.write_text(text)
    return path


def job_body(**changes: object) -> bytes:
    """Return the body of a good submission, with changes; None takes a field out."""
    fields = {"key": "valdres:k1", "team": "drivers", "tasks": [{"kind": "receipt"}]}
    fields |= changes
    kept = {name: value for name, value in fields.items() if value is not None}
    return msgspec.json.encode(kept)
