"""Signals to child processes of asyncio, without taking their exit code from asyncio.

`asyncio.subprocess.Process.send_signal`, `terminate` and `kill` poll the process first. If it has just ended, the poll
collects its exit code, and the thread in which asyncio waits for the process finds none and reports 255."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

TERMINATED_EXIT_CODE = 128 + signal.SIGTERM

Result = TypeVar("Result")


def send_signal(process: asyncio.subprocess.Process, number: int) -> bool:
    """Send a signal to a child process; return whether it was still running. Collects no exit code."""
    if process.returncode is not None or has_ended(process.pid):
        return False
    try:
        os.kill(process.pid, number)
    except ProcessLookupError:
        return False
    return True


def kill(process: asyncio.subprocess.Process) -> bool:
    """Send SIGKILL; return whether the process was still running."""
    return send_signal(process, signal.SIGKILL)


def has_ended(pid: int) -> bool:
    """Return whether a child process has ended; its exit code is not collected."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:
        return True


def run_until_terminated(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine as `asyncio.run` does; SIGTERM cancels it, as Ctrl-C does, so that it ends its processes.

    Raises SystemExit after SIGTERM."""
    is_terminated = False

    async def run() -> Result:
        task = asyncio.current_task()
        assert task is not None

        def terminate() -> None:
            nonlocal is_terminated
            is_terminated = True
            task.cancel()

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminate)
        return await coroutine

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        if not is_terminated:
            raise
        raise SystemExit(TERMINATED_EXIT_CODE) from None
