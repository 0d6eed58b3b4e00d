"""Connections whose reads take long are read one after the other."""

import asyncio
import itertools

from pimentospool.platform import _read_turns
from pimentospool.platform._read_turns import ReadTurns


class _Taker:
    def __init__(self, turns, taken, name, count):
        self._turns = turns
        self._taken = taken
        self._name = name
        self._count = count

    def take_turn(self):
        self._taken.append((self._name, asyncio.get_running_loop().time()))
        self._count -= 1
        if self._count:
            self._turns.wait(self)


def test_turns_go_round_with_time_between_them(runner):
    """Guards against one round of long reads that other requests wait for."""

    async def run():
        turns, taken = ReadTurns(), []
        for name in "abc":
            turns.wait(_Taker(turns, taken, name, 2))
        while len(taken) < 6:
            await asyncio.sleep(0.01)
        turns.wait(_Taker(turns, taken, "d", 1))
        while len(taken) < 7:
            await asyncio.sleep(0.01)
        return taken

    taken = runner.run(run())
    assert [name for name, _ in taken] == list("abcabcd")
    times = [at for _, at in taken]
    gaps = [later - at for at, later in itertools.pairwise(times)]
    assert min(gaps) >= _read_turns.TURN_SECONDS * 0.5
