"""The command line, over the high-level API alone."""

import click

from .. import __version__
from .audit import audit
from .bench import bench
from .demo import demo
from .endpoint import endpoint
from .host import host
from .job import job
from .load import load
from .preset import preset
from .quota import quota
from .reference import reference
from .settings import settings
from .status import status
from .token import token

__all__ = ["main"]


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Dispatch sub-second tasks."""


for _command in (
    audit,
    bench,
    demo,
    endpoint,
    host,
    job,
    load,
    reference,
    preset,
    quota,
    settings,
    status,
    token,
):
    main.add_command(_command)
