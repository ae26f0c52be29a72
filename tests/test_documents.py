"""The commands of the documents, run as written but for their ports."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

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
    """Run a script and end all that it started; return its exit code and output."""
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
