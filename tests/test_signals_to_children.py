"""Tests signals that the test bench sends to its child processes."""

from __future__ import annotations

import asyncio
import signal

from chutepin.testbench.signals import has_ended, kill, send_signal

CHILDREN = 40
SIGNALS_PER_ITERATION = 50  # sent between two iterations of the event loop
SHORT_LIVED_SCRIPT = "trap '' USR1; sleep 0.02; exit 7"


async def exit_code_under_signals() -> int | None:
    """Signal a child continuously until it has ended; return the exit code that asyncio reports."""
    child = await asyncio.create_subprocess_exec("/bin/sh", "-c", SHORT_LIVED_SCRIPT)
    await asyncio.sleep(0.01)  # until the shell ignores the signal
    while child.returncode is None:
        for _ in range(SIGNALS_PER_ITERATION):
            send_signal(child, signal.SIGUSR1)
        await asyncio.sleep(0)
    return child.returncode


# Guards against an exit code of 255, caused by the bench polling a process that has just ended.
def test_child_that_ends_under_repeated_signals_keeps_its_exit_code() -> None:
    async def test() -> None:
        codes = [await exit_code_under_signals() for _ in range(CHILDREN)]
        assert codes == [7] * CHILDREN

    asyncio.run(test())


def test_signal_reaches_running_child_but_not_ended_child() -> None:
    async def test() -> None:
        child = await asyncio.create_subprocess_exec("/bin/sh", "-c", "sleep 30")
        assert not has_ended(child.pid)
        assert kill(child)
        assert await child.wait() == -signal.SIGKILL
        assert has_ended(child.pid) and not send_signal(child, signal.SIGTERM)

    asyncio.run(test())
