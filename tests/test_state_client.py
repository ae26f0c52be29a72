import pytest
import trio

from currantwell.errors import AgreementLost
from currantwell.state_client import SharedReadBarrier


class SlowAgreement:
    """Read barriers take one second and cover what was agreed at their start."""

    def __init__(self):
        self.rounds = 0
        self.agreed = 0
        self.lost = False

    async def read_barrier(self, timeout_s):
        self.rounds += 1
        self.confirmed = self.agreed
        await trio.sleep(1)
        if self.lost:
            raise AgreementLost("no majority")


async def test_a_caller_joins_only_a_round_that_starts_after_its_call(
    nursery, autojump_clock
):
    agreement = SlowAgreement()
    shared = SharedReadBarrier(agreement)
    nursery.start_soon(shared.read_barrier)
    await trio.sleep(0.5)
    agreement.agreed = 7
    async with trio.open_nursery() as callers:
        for _ in range(5):
            callers.start_soon(shared.read_barrier)
    assert agreement.confirmed == 7
    assert agreement.rounds == 2


async def test_a_lost_round_confirms_no_one(autojump_clock):
    agreement = SlowAgreement()
    shared = SharedReadBarrier(agreement)
    agreement.lost = True
    lost = []

    async def call():
        with pytest.raises(AgreementLost):
            await shared.read_barrier()
        lost.append(agreement.rounds)

    async with trio.open_nursery() as callers:
        callers.start_soon(call)
        callers.start_soon(call)
    assert lost == [1, 2]
    agreement.lost = False
    await shared.read_barrier()


async def test_rounds_are_spaced(nursery, autojump_clock):
    agreement = SlowAgreement()
    agreement.read_barrier = lambda timeout_s: trio.sleep(0)
    shared = SharedReadBarrier(agreement)
    started_s = trio.current_time()
    for _ in range(5):
        await shared.read_barrier()
    assert trio.current_time() - started_s == pytest.approx(1.0)
