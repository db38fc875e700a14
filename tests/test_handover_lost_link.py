"""The end of a hand-over link: what the peer process has sent before is read before its keys are taken over."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from chutepin.broker import Request
from chutepin.broker.requests import fingerprint
from chutepin.handover import HandoverLink, Stage
from chutepin.handover.connection import open_stream, start_server
from chutepin.handover.frames import encode, encode_record
from chutepin.handover.messages import HandoverAccepted, KeysSynced, TakeoverGranted
from chutepin.handover.rendezvous import Rendezvous
from chutepin.idempotency import IdempotencyRecord
from chutepin.logs import Log
from chutepin.testbench.standins.platform import eventually

from .helper import WINDOW
from .test_handover_session import Process

TEST_TIMEOUT_S = 10.0
BODY = b"order"
CLAIM = b"claim" * 40_000  # more than asyncio reads at a time


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


async def read_after_failed_write(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: socket.socket
) -> bytes:
    """Have the peer send and end, write before its bytes are read, and return what can still be read."""
    peer.setblocking(False)
    sent = peer.send(CLAIM)
    peer.close()
    writer.write(b"usage")
    assert writer.transport.is_closing()
    data = b""
    while chunk := await reader.read(65536):
        data += chunk
    assert len(data) == sent
    return data


def test_bytes_of_an_ended_peer_are_read_after_a_failed_write_of_the_connecting_side() -> None:
    async def test() -> None:
        sock, peer = socket.socketpair()
        reader, writer = await open_stream(sock)
        assert CLAIM.startswith(await read_after_failed_write(reader, writer, peer))

    run(test)


def test_bytes_of_an_ended_peer_are_read_after_a_failed_write_of_the_accepting_side(tmp_path: Path) -> None:
    async def test() -> None:
        received = asyncio.get_running_loop().create_future()
        peer = socket.socket(socket.AF_UNIX)

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.set_result(await read_after_failed_write(reader, writer, peer))

        listening = socket.socket(socket.AF_UNIX)
        listening.bind(str(tmp_path / "socket"))
        server = await start_server(handle, listening, 1)
        peer.connect(str(tmp_path / "socket"))
        assert CLAIM.startswith(await received)
        server.close()

    run(test)


class Successor:
    """A process that has taken over from a scripted predecessor, whose attempt `a` holds the key `k`."""

    def __init__(self, directory: Path) -> None:
        self.process = Process()
        core = self.process.core
        self.path = str(directory / "rendezvous")
        self._listening = socket.socket(socket.AF_UNIX)
        self._listening.bind(self.path)
        self._listening.listen(1)
        request = Request("", "work-order", BODY, 0.0, 0.0, tenant="bernard-lodge")
        self.record = IdempotencyRecord("k", "a", core.hand.time + WINDOW, fingerprint(request))
        self.link = HandoverLink(
            Rendezvous(self.path),
            self.process.session,
            list,
            core.hand.clock,
            core.counters,
            Log(core.hand.clock),
        )
        self.link.start_serving = self._start_serving

    async def _start_serving(self) -> None: ...

    async def take_over(self, stack: contextlib.ExitStack) -> socket.socket:
        """Return the predecessor's end of the link once its keys are owned by the successor."""
        running = asyncio.ensure_future(self.link.run())
        stack.callback(running.cancel)
        await asyncio.sleep(0)
        predecessor = self._accept()
        self._listening.close()
        predecessor.sendall(encode(HandoverAccepted(1)))
        predecessor.sendall(encode_record(self.record))
        predecessor.sendall(encode(KeysSynced(0.0)))
        self.process.session.executor_ready()
        await eventually(lambda: self.process.session.machine.stage is Stage.TAKEOVER_REQUESTED)
        predecessor.sendall(encode(TakeoverGranted()))
        await eventually(lambda: self.process.session.machine.stage is Stage.TAKEN_OVER)
        return predecessor

    def _accept(self) -> socket.socket:
        while True:  # the successor first checks whether a process listens
            predecessor, _ = self._listening.accept()
            if predecessor.recv(100):
                return predecessor

    def claim(self) -> bytes:
        """Return the predecessor's claim of the run of its key."""
        self.record.run_id = "a"
        return encode_record(self.record)


@pytest.mark.parametrize("end", ["failed write", "malformed frame"])
def test_key_claimed_before_the_end_of_the_link_does_not_run_again(end: str, tmp_path: Path) -> None:
    """The claim was dropped unread, and the key that the predecessor had run was taken as one that never ran."""

    async def test() -> None:
        successor = Successor(tmp_path)
        core = successor.process.core
        with contextlib.ExitStack() as stack:
            predecessor = await successor.take_over(stack)
            if end == "failed write":
                predecessor.sendall(successor.claim())
                predecessor.close()
                core.pick("b", "work-order", key="other")  # its claim cannot be sent, before the loop reads
            else:
                predecessor.sendall(b"what\r\n" + successor.claim())
            await eventually(lambda: successor.process.session.machine.stage is Stage.ALONE)
            core.pick("retry", "work-order", key="k", body=BODY)
            assert "retry" not in core.ports.ids("exec")
            assert core.words("retry") == ["failed"]

    run(test)
