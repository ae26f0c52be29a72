"""Builders of test data."""

from pathlib import Path

KEY_TEXT = "k" * 64 + "\n"


def settings_file(folder: Path, text: str) -> Path:
    """Write a settings file beside a good key file and a tokens file."""
    (folder / "hosts.key").write_text(KEY_TEXT)
    (folder / "tokens.ini").write_text("[teams]\n")
    path = folder / "host.ini"
    path.write_text(text)
    return path
