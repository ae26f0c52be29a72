"""The adapter stays in its folder and shadows no module of the standard library."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PLATFORM_WORDS = re.compile(
    r"acked_upto|fencing_token|task_spec|cpu_millicores|memory_request_mb|run-start|"
    r"run-stop|best_effort|long_running|gang_scheduled|Currantwell-Expect|"
    r"Currantwell-Deadline|Instances\.Heartbeat|Configuration\.(Put|Get)|"
    r"max_attempts\b|path_prefix_|checkpointing|may_miss|timeout_ms|millicores",
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 2_000


def test_no_code_outside_the_adapter_uses_terms_of_the_platform():
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted((ROOT / "currantwell").rglob("*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_WORDS.search(line)
    ]
    assert not found


def test_the_adapter_is_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in (ROOT / "platform").rglob("*.py")
    )
    assert lines < MAX_ADAPTER_LINES


def test_there_is_no_package_named_platform():
    assert not (ROOT / "platform" / "__init__.py").exists()


@pytest.mark.parametrize("folder", [".", "platform"])
def test_the_module_of_the_standard_library_is_found(folder):
    code = "import platform; print(platform.python_version())"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT / folder, capture_output=True, text=True
    )
    assert done.stdout.startswith("3.")
