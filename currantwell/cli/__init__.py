"""The command line, over the high-level API alone.

Each command is a module of its own with a function of the module's name, imported only
when it is used, since some of them need much.
"""

import importlib

import click

from .. import __version__

__all__ = ["main"]

COMMANDS = (
    "audit",
    "bench",
    "demo",
    "endpoint",
    "host",
    "job",
    "load",
    "preset",
    "quota",
    "reference",
    "settings",
    "status",
    "token",
)


class _Commands(click.Group):
    """All commands by name."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module = importlib.import_module(f".{name}", __name__)
        command: click.Command = getattr(module, name)
        return command


@click.group(cls=_Commands)
@click.version_option(__version__)
def main() -> None:
    """Dispatch sub-second tasks."""
