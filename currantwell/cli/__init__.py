"""The command line, built only on the high-level clients.

Each command is a module with a function of the same name, imported only when its
command is used, since some commands import large dependencies.
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
    """Group that imports the module of a command on demand."""

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
