"""What the connections of a node may hold in memory, one by one and all together."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import pytest

from chutepin import memory_budget
from chutepin.admission import MAX_CLOSING, DescriptorBudget
from chutepin.admission.descriptor_budget import MARGIN_DESCRIPTORS
from chutepin.descriptors import count_open_descriptors
from chutepin.memory_budget import BASE_BYTES, CONNECTION_BYTES, MIB, MemoryBudget, divide_memory
from chutepin.net.byte_limit import ByteLimit
from chutepin.net.resp import RespListener, RespParser, array
from chutepin.net.resp.parser import MAX_ARRAY_BYTES, MAX_BULK_BYTES
from chutepin.net.resp.sockets import READ_BYTES
from chutepin.net.streams import BoundedStreamProtocol, new_reader, open_connection
from chutepin.testbench.standins.platform import eventually

from .helper import Core, Standins
from .test_node import on_sockets
from .test_standing import call, run_with_listener

SMALLEST_MEMORY_MB = 32  # "32 to 192 MB depending on language and day"
SOCKETS = 512  # "384 or 512 descriptors"
CLIENTS = 250
FLOOD_S = 2.5
SAMPLE_S = 0.01
PIECE = bytes(2**16)


def own_memory_kb(pid: int) -> int:
    """Return the memory of a process that no file backs, in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


def request(tag: int, fields: str = "", body: bytes = b"") -> bytes:
    """Encode a sound request with a new id."""
    sound = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=9,t=bernard-lodge,d=5000,m=0.1,p=0.5"
    return array(b"RPC.CALL", b"%d" % tag, b"position-push", f"{sound}{fields}".encode(), body)


def endless_body() -> bytes:
    return b"*5\r\n$8\r\nRPC.CALL\r\n$1\r\n1\r\n$11\r\nstatus-read\r\n$2\r\ni=\r\n$60000000\r\n" + bytes(2**20)


def half_of_the_longest_array() -> bytes:
    return b"*8\r\n" + b"$4096\r\n%b\r\n" % bytes(4096) * 7 + b"$4096\r\n" + bytes(4000)


def many_short_fields() -> bytes:
    fields = "".join(f",{number:x}={number:x}" for number in range(500))
    return b"".join(request(tag, fields, bytes(2048)) for tag in range(1, 40))


def half_of_a_request() -> bytes:
    return request(1, "," + "x" * 3900, bytes(2048))[:-10]


def unread_answers() -> bytes:
    return b"".join(request(tag, body=bytes(2000)) for tag in range(1, 33))


FLOODS = [endless_body, half_of_the_longest_array, many_short_fields, half_of_a_request, unread_answers]


async def flood(port: int, data: bytes, reads: bool) -> None:
    """Send on one connection at full speed, and again on a new one as soon as it is closed."""
    loop = asyncio.get_running_loop()
    while True:
        with suppress(OSError), socket.socket() as client:
            client.setblocking(False)
            if not reads:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await loop.sock_connect(client, ("127.0.0.1", port))
            await loop.sock_sendall(client, data)
            while reads and await loop.sock_recv(client, READ_BYTES):
                pass
            if not reads:
                await loop.create_future()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("content", FLOODS)
def test_hundreds_of_clients_do_not_take_a_node_over_its_memory_limit(content: object) -> None:
    """Guards against unread input and output that only each connection bounds: their sum passed the limit."""
    assert callable(content)

    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.memory_mb, world.sockets, world.calling = SMALLEST_MEMORY_MB, SOCKETS, False
        await world.start(stack, environ={"PYTHONOPTIMIZE": "1"})
        assert world.process is not None
        pid = world.process.pid
        clients = [
            asyncio.ensure_future(flood(world.port, content(), content is not unread_answers)) for _ in range(CLIENTS)
        ]
        highest, ends_at = 0, time.monotonic() + FLOOD_S
        while time.monotonic() < ends_at:
            highest = max(highest, own_memory_kb(pid))
            await asyncio.sleep(SAMPLE_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        assert highest <= SMALLEST_MEMORY_MB * 1024

    on_sockets(test)


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 128, 192])
@pytest.mark.parametrize("sockets", [384, 512])
def test_shares_and_connections_fit_the_memory_limit(memory_mb: int, sockets: int) -> None:
    """Guards against parts whose limits are each sound and whose sum is not."""
    connections = sockets // 2 + sockets // 5
    budget = divide_memory(memory_mb * MIB, connections)
    shares = sum(getattr(budget, name) for name in MemoryBudget.__slots__)
    assert BASE_BYTES + connections * CONNECTION_BYTES + shares <= memory_mb * MIB


def test_shares_have_a_minimum_below_the_smallest_limit() -> None:
    budget = divide_memory(MIB, 10_000)
    assert all(getattr(budget, name) >= memory_budget.MIN_DIVIDED_BYTES // 20 for name in MemoryBudget.__slots__)


@asynccontextmanager
async def endless_peer() -> AsyncIterator[int]:
    """Listen on a port, send without end on each connection, and yield the port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while True:
                writer.write(PIECE)
                await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@pytest.mark.parametrize("read_bytes", [4096, 16384])
def test_stream_holds_two_reads_of_unread_input(read_bytes: int) -> None:
    """Guards against asyncio's own reads of 256 KiB, which a reader's limit does not bound."""

    async def run() -> None:
        async with endless_peer() as port:
            reader, writer = await open_connection("127.0.0.1", port, read_bytes)
            await asyncio.sleep(0.2)
            async with asyncio.timeout(5):
                assert 0 < len(await reader.read(2**20)) <= 2 * read_bytes
                assert len(await reader.readexactly(10 * read_bytes)) == 10 * read_bytes  # the transport goes on
            writer.transport.abort()

    asyncio.run(run())


def test_discarded_input_is_not_held_and_its_end_is_received() -> None:
    async def run() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        reader = new_reader(4096)
        protocol = BoundedStreamProtocol(reader, 4096)
        await asyncio.get_running_loop().create_connection(lambda: protocol, sock=near)
        protocol.discard_input()
        with far:
            far.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(far, bytes(100_000))
        assert await reader.read() == b""

    asyncio.run(run())


def test_above_the_total_limit_the_connection_with_most_bytes_is_dropped() -> None:
    """Guards against a limit that drops the connection which happens to be next, however little it holds."""
    held = {1: 500, 2: 900, 3: 200}
    limit = ByteLimit(1000, 1500, 100, lambda key: held.get(key, 0))
    assert [limit.record(key, held[key]) for key in held] == [None, None, 2]
    limit.forget(2)
    assert limit.record(3, 200) is None


def test_total_is_taken_anew_before_a_connection_is_dropped() -> None:
    held = {1: 800, 2: 800}
    limit = ByteLimit(1000, 1500, 100, lambda key: held.get(key, 0))
    assert limit.record(1, 800) is None
    held[1] = 0
    assert limit.record(2, 800) is None and limit.record(2, 1001) == 2


def test_parser_holds_at_most_one_array_of_the_maximum_size() -> None:
    parser, piece = RespParser(), b"$4096\r\n%b\r\n" % bytes(MAX_BULK_BYTES)
    parser.feed(b"*8\r\n")
    with pytest.raises(ValueError, match="array is too long"):
        for _ in range(8):
            parser.feed(piece)
            assert parser.next() is None and parser.held_bytes <= MAX_ARRAY_BYTES + len(piece)


def test_connection_with_most_unprocessed_input_is_closed_above_the_total() -> None:
    """A client that wrote half of a long request gives way to others, and is told."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        front._received = ByteLimit(2**16, 8000, 1024, front._received_bytes)
        message = array(b"RPC.CALL", b"1", b"x" * 1000, b"y" * 4000)
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(4)]
        for client, length in zip(clients, (3000, 4500, 1500, 100), strict=True):
            client.sendall(message[:length])
        await eventually(lambda: core.counters.counts["balancers.input_limit"] == 1)
        clients[1].setblocking(False)
        data = await asyncio.get_running_loop().sock_recv(clients[1], 100)
        assert data == array(b"0", b"BYE")
        clients.append(socket.create_connection(("127.0.0.1", port)))
        clients[4].sendall(call(core, 7))
        await eventually(lambda: core.ports.ids("exec"))
        for client in clients:
            client.close()

    run_with_listener(test)


def test_backlog_that_is_accepted_at_the_end_of_a_drain_stays_within_the_descriptors() -> None:
    """Guards against a crowd in the backlog that takes thousands of descriptors, and memory for each."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        front.descriptors = DescriptorBudget(10 + MARGIN_DESCRIPTORS, {"front": (0, 10)})
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        descriptors_before = count_open_descriptors()
        front.leave()
        descriptors_after = count_open_descriptors()
        assert descriptors_before is not None and descriptors_after is not None
        assert descriptors_after <= descriptors_before + 10 + MAX_CLOSING
        for client in clients:  # each is told
            client.settimeout(5)
            assert await asyncio.to_thread(client.recv, 100) in (b"", array(b"0", b"BYE"))
            client.close()

    run_with_listener(test)
