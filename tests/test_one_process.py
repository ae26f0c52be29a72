"""Processes start no subprocesses; `make binary-check` checks the built file."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.processes import command, one_host, wait_until

ROOT = Path(__file__).parent.parent
GUARD = Path(__file__).parent / "spawn_guard"
BINARY = ROOT / "dist" / "currantwell"


@pytest.fixture
def spawned(tmp_path, monkeypatch):
    """Return a function that reads the commands started by processes of the test."""
    log = tmp_path / "spawned"
    monkeypatch.setenv("SPAWN_LOG", str(log))
    monkeypatch.setenv("PYTHONPATH", f"{GUARD}:{ROOT}")
    return lambda: log.read_text() if log.exists() else ""


def test_the_guard_records_a_subprocess(spawned, tmp_path):
    code = "import subprocess; subprocess.run(['true'])"
    subprocess.run([sys.executable, "-c", code], check=True)
    assert "true" in spawned()


def test_hosts_endpoints_and_commands_start_no_subprocess(spawned, tmp_path):
    with one_host(tmp_path, endpoints=1) as host:
        url = ("--url", host.url)
        wait_until(lambda: command("endpoint", "list", *url).stdout)
        example = str(ROOT / "examples" / "check_in.json")
        assert command("job", "submit", example, *url).returncode == 0
        assert host.terminate() == 0
    assert spawned() == ""


@pytest.mark.binary
def test_the_built_file_runs_the_demo_in_one_process(spawned, tmp_path, monkeypatch):
    monkeypatch.setenv("SHIV_ROOT", str(tmp_path / "unpacked"))
    monkeypatch.setenv("PYTHONPATH", str(GUARD))
    demo = ROOT / "examples" / "dawn_check_ins.json"
    result = subprocess.run([BINARY, "demo", demo], cwd=tmp_path, capture_output=True)
    assert result.returncode == 0, result.stderr
    assert b"jobs complete" in result.stdout
    assert spawned() == ""
