"""Signals to child processes of asyncio, without taking their exit code from asyncio.

`asyncio.subprocess.Process.send_signal`, `terminate` and `kill` poll the process first, which collects the exit code of
one that has just ended. The thread in which asyncio waits for that process then finds none and reports 255."""

from __future__ import annotations

import asyncio
import os
import signal


def send_signal(process: asyncio.subprocess.Process, number: int) -> bool:
    """Send a signal to a child process; return whether it still ran. One that has ended keeps its exit code."""
    if process.returncode is not None or has_ended(process.pid):
        return False
    try:
        os.kill(process.pid, number)
    except ProcessLookupError:
        return False
    return True


def kill(process: asyncio.subprocess.Process) -> bool:
    """Send SIGKILL; return whether the process still ran."""
    return send_signal(process, signal.SIGKILL)


def has_ended(pid: int) -> bool:
    """Return whether a child process has ended; it isn't waited for, and its exit code stays to be collected."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:
        return True
