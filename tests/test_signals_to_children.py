"""Signals that the test bench sends to the processes that it starts."""

from __future__ import annotations

import asyncio
import signal

from chutepin.testbench.signals import has_ended, kill, send_signal

CHILDREN = 40
SIGNALS_A_TURN = 50  # between two turns of the event loop
ENDS_SOON = "trap '' USR1; sleep 0.02; exit 7"


async def exit_code_under_signals() -> int | None:
    """Signal a child without a pause until it has ended; its exit code as asyncio has it."""
    child = await asyncio.create_subprocess_exec("/bin/sh", "-c", ENDS_SOON)
    await asyncio.sleep(0.01)  # the shell ignores the signal by then
    while child.returncode is None:
        for _ in range(SIGNALS_A_TURN):
            send_signal(child, signal.SIGUSR1)
        await asyncio.sleep(0)
    return child.returncode


# Guards against an exit code of 255 that the bench itself made by polling a process that had just ended.
def test_a_child_that_ends_under_a_series_of_signals_keeps_its_exit_code() -> None:
    async def test() -> None:
        codes = [await exit_code_under_signals() for _ in range(CHILDREN)]
        assert codes == [7] * CHILDREN

    asyncio.run(test())


def test_a_signal_reaches_a_child_that_runs_and_none_that_has_ended() -> None:
    async def test() -> None:
        child = await asyncio.create_subprocess_exec("/bin/sh", "-c", "sleep 30")
        assert not has_ended(child.pid)
        assert kill(child)
        assert await child.wait() == -signal.SIGKILL
        assert has_ended(child.pid) and not send_signal(child, signal.SIGTERM)

    asyncio.run(test())
