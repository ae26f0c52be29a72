"""Runs every scenario of the ``scenarios`` folder."""

from pathlib import Path

import pytest

from tests.scenario import run_scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
async def test_scenario(path, tmp_path):
    await run_scenario(path.read_text(), tmp_path)
