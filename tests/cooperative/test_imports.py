"""The programs import only what they use, since each start pays for its imports."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
HTTP_CLIENT = {"httpcore", "currantwell.http_client"}
AGREEMENT = {"pynng", "currantwell.raft_agreement", "currantwell.consensus"}
DISPATCH = {"httptools", "currantwell.dispatcher", "currantwell.scheduler"}


def modules_of(module):
    code = f"import {module}, sys; print(*sys.modules)"
    path = [str(ROOT), str(ROOT / "platform")]
    finished = subprocess.run(
        [sys.executable, "-c", f"import sys; sys.path += {path}; {code}"],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return set(finished.stdout.split())


@pytest.mark.parametrize(
    ("program", "unused"),
    [("entry", HTTP_CLIENT | AGREEMENT), ("control", HTTP_CLIENT | DISPATCH)],
)
def test_a_program_imports_only_its_own_parts(program, unused):
    assert not modules_of(f"cooperative.{program}_program") & unused


# Runs a program until it finds no settings, then tells whether the collector is on.
COUNT_COLLECTIONS = """
import gc, runpy, sys
from contextlib import suppress
collections = []
gc.callbacks.append(lambda phase, info: collections.append(phase))
sys.argv = ["run.py", sys.argv[1]]
sys.path.insert(0, "platform")
with suppress(Exception):
    runpy.run_path("platform/run.py", run_name="__main__")
print(len(collections), gc.isenabled())
"""


@pytest.mark.parametrize("program", ["entry", "control"])
def test_the_garbage_collector_waits_for_the_imports(program, tmp_path):
    finished = subprocess.run(
        [sys.executable, "-c", COUNT_COLLECTIONS, program],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        env={**os.environ, "CURRANTWELL_SETTINGS": str(tmp_path / "missing")},
    )
    collections, enabled = finished.stdout.split()
    # `runpy` itself causes a few.
    assert int(collections) < 20
    assert enabled == "True"


def test_a_program_holds_signals_back_before_its_first_import():
    """One that comes earlier ends the process."""
    code = """
import os, signal, sys
known = set(sys.modules)

def print_imported(*arguments):
    print(*set(sys.modules) - known, flush=True)
    os._exit(0)

signal.pthread_sigmask = print_imported
exec(open("platform/run.py").read())
"""
    finished = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    assert finished.stdout.split() == []
