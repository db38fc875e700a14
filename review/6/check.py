"""Case: clients that send bodies of 60 MB; the node takes more memory than its limit and is killed."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import BROKEN, HELD, HOST, Asked, Rig, array, example_settings, finish, run_case, trouble

MEMORY_MB = 32  # "32 to 192 MB depending on language and day"
SOCKETS = 512  # "384 or 512 descriptors"
CLIENTS = 100  # bad clients, each with one connection and one message
BODY_BYTES = 60_000_000
PIECE_BYTES = 1_000_000
CALM_S, FLOOD_S = 3.0, 10.0
RATE = 15.0  # requests a second of the balancer
WAIT_MS = 7000
SAMPLE_S = 0.01


def anonymous_kb(pid: int) -> int:
    """Return the memory of a process that no file backs, in KB; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    return 0


def message_head() -> bytes:
    """Return a call up to the length of its body."""
    fields = f"i=9b1f03aa5c7e2d41,s={int(time.time() * 1000)},f=9,t=bernard-lodge,d=5000,m=24.5,p=0.5"
    items = array(b"RPC.CALL", b"1", b"status-read", fields.encode())
    return b"*5" + items[2:] + b"$%d\r\n" % BODY_BYTES


async def bad_client(rig: Rig, number: int) -> None:
    """Send one message with a body of 60 MB at full speed, and read whatever comes."""
    sent, started_at = 0, time.time()
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(HOST, rig.listen_port)
        reading = asyncio.ensure_future(reader.read())
        with contextlib.suppress(OSError):
            writer.write(message_head())
            while sent < BODY_BYTES and not reading.done():
                writer.write(bytes(PIECE_BYTES))
                await writer.drain()
                sent += PIECE_BYTES
            await reading
        reading.cancel()
        writer.transport.abort()
    rig.record.line(f"bad client {number}: wrote {sent} bytes, over after {time.time() - started_at:.2f} s")


async def balance(rig: Rig, sent: list[Asked], end_at: float) -> None:
    """Send requests as a balancer until this time."""
    connection = await rig.balancer()
    while time.time() < end_at:
        if connection.bye or connection.ended:
            try:
                connection = await rig.balancer()
            except OSError:
                rig.record.line("balancer: connection refused")
                return
        sent.append(connection.call("position-push", b"position", wait_ms=WAIT_MS, team="bernard-lodge"))
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(1.0)


async def case(rig: Rig) -> int:
    """Serve a balancer while the bad clients send, and measure the memory of the node as its platform does."""
    executor = await rig.executor()
    executor.work_s = lambda run: 0.1
    node = await rig.node(executor, example_settings(), sockets=SOCKETS, memory_mb=MEMORY_MB)
    assert node.process is not None
    sent: list[Asked] = []
    started_at = time.time()
    end_at = started_at + CALM_S + FLOOD_S
    serving = asyncio.ensure_future(balance(rig, sent, end_at))
    clients: list[asyncio.Task[None]] = []
    highest, killed, shown_at = 0, False, 0.0
    while time.time() < end_at and not node.ended:
        now = time.time()
        if trouble() and not clients and now > started_at + CALM_S:
            rig.record.line(f"{CLIENTS} bad clients begin")
            clients = [asyncio.ensure_future(bad_client(rig, number)) for number in range(CLIENTS)]
        used = anonymous_kb(node.process.pid)
        highest = max(highest, used)
        if now > shown_at + 0.5:
            shown_at = now
            rig.record.line(f"platform: the node uses {used} KB")
        if used > MEMORY_MB * 1024:
            rig.record.line(f"platform: the node uses {used} KB, over its {MEMORY_MB * 1024} KB: it is killed")
            node.process.kill()
            killed = True
            break
        await asyncio.sleep(SAMPLE_S)
    await serving
    await asyncio.gather(*clients)
    answered = sum(bool(asked.answers) for asked in sent)
    rig.record.line(f"balancer: sent {len(sent)}, answered {answered}, without an answer {len(sent) - answered}")
    rig.record.line(f"platform: at most {highest} KB of {MEMORY_MB * 1024} KB; killed: {killed}")
    return BROKEN if killed or node.ended else HELD


def main() -> int:
    """Run the case."""
    return run_case(__file__, case)


if __name__ == "__main__":
    finish(main())
