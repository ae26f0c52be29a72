"""A short seeded soak; `tests.cooperative.soak` plays more by hand."""

import pytest

from tests.cooperative.soak import play

# Each seed that ever failed stays here, with a line on the cause; none has so far.
REGRESSIONS = ()
SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
async def test_the_promises_are_kept_under_faults(seed, tmp_path):
    broken, log, _ = await play(seed, SECONDS, tmp_path)
    assert not broken, "\n".join(log)
