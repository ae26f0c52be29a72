"""Runs the commands of the documents as written, except for their ports."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import click
import pytest

from currantwell.cli import main
from currantwell.codes import ResultCode
from currantwell.events import catalogue
from tests.builders import free_addresses

ROOT = Path(__file__).parent.parent
BLOCK = re.compile(r"^```sh\n(.*?)^```", re.M | re.S)
PORT = re.compile(r"\b(?:80[89]|91)\d+\b")
START = """\
set -euo pipefail
trap 'for job in $(jobs -p); do kill $job; done; wait' EXIT
"""
RUN_TIMEOUT_S = 60


@pytest.mark.parametrize("name", ["README.md", "docs/API.md"])
def test_the_commands_of_a_document_run(name, tmp_path):
    script = START + "\n".join(BLOCK.findall((ROOT / name).read_text()))
    settings = sorted((ROOT / "examples").rglob("*.ini"))
    texts = [script, *(path.read_text() for path in settings)]
    ports = sorted({port for text in texts for port in PORT.findall(text)})
    free = dict(zip(ports, free_addresses(len(ports)), strict=True))

    def with_free_ports(text):
        return PORT.sub(lambda port: free[port.group()].partition(":")[2], text)

    for path in (ROOT / "examples").rglob("*"):
        copy = tmp_path / path.relative_to(ROOT)
        if path.is_file():
            copy.parent.mkdir(parents=True, exist_ok=True)
            copy.write_text(with_free_ports(path.read_text()))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    code, output = run(with_free_ports(script), tmp_path, path)
    assert code == 0, output
    assert '"state":"complete"' in output
    assert "Traceback" not in output


def run(script, folder, path):
    """Run a script, end all processes it started, and return exit code and output."""
    with subprocess.Popen(
        ["bash", "-c", script],
        cwd=folder,
        env=os.environ | {"PATH": path, "PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as shell:
        try:
            output, _ = shell.communicate(timeout=RUN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            os.killpg(shell.pid, signal.SIGKILL)
            output = shell.communicate()[0] + "\nran out of time"
    return shell.returncode, output


COMMAND = re.compile(r"`currantwell ([a-z ]+[a-z])")
PAGES = ("README.md", "docs/OPERATIONS.md", "docs/API.md", "docs/RESULT_CODES.md")


@pytest.mark.parametrize("name", PAGES)
def test_the_commands_that_a_document_names_exist(name):
    for words in COMMAND.findall((ROOT / name).read_text()):
        command = main
        for word in words.split():
            if isinstance(command, click.Group):
                command = command.get_command(click.Context(command), word)
            assert command is not None, words


def test_the_pages_name_codes_and_events_that_exist():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for name in re.findall(r"`([A-Z][A-Z_]+_[A-Z_]+)`", page):
        assert name in ResultCode.__members__ or name == "CURRANTWELL_URL", name
    known = {(str(event.number), event.name) for event in catalogue()}
    for number, name in re.findall(r"(\d{3}) `([a-z_]+)`", page):
        assert (number, name) in known, name
    # Log lines contain other three-digit numbers, so only the event that each line
    # names is checked here, and code blocks are left out of the last check.
    for number, name in re.findall(r'"event":(\d+),"name":"([a-z_]+)"', page):
        assert (number, name) in known, name
    prose = re.sub(r"```.*?```", "", page, flags=re.DOTALL)
    numbers = {number for number, _ in known}
    statuses = {"503", "504"}
    assert set(re.findall(r"\b[2-7]\d\d\b", prose)) - statuses <= numbers
