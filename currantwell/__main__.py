"""Entry point of ``python -m currantwell``."""

from .cli import main

main(prog_name="currantwell")
