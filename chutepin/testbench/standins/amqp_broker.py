"""A stand-in AMQP 0-9-1 broker: queues, prefetch, acknowledgements that it may lose and links that it may cut."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

from pamqp import base, body, commands, frame, header

from chutepin.net.amqp import PROTOCOL_HEADER, FrameParser, decode

Properties = commands.Basic.Properties
READ_BYTES = 65536
DEAF_POLL_S = 0.01  # between looks at whether it reads again


@dataclass
class Message:
    """A message of the stand-in: ready, out for delivery, or settled with the word that settled it."""

    queue: str
    properties: Properties
    data: bytes
    redelivered: bool = False
    settled: str = ""
    deliveries: int = 0
    raw_header: bytes = b""


class LinkTransport(Protocol):
    """As much of a transport as the stand-in needs."""

    def abort(self) -> None:
        """Close at once."""

    def is_closing(self) -> bool:
        """Whether it is closed or being closed."""


class LinkWriter(Protocol):
    """As much of a stream's writer as the stand-in needs."""

    @property
    def transport(self) -> LinkTransport:
        """Return the transport below."""

    def write(self, data: bytes) -> None:
        """Send bytes."""


class StandinBroker:
    """Enough of a broker: queues, prefetch, acknowledgements that it may lose, links that it may cut."""

    def __init__(self, seed: int = 1, cuts: float = 0.0, lost_acks: float = 0.0, heartbeat: int = 60) -> None:
        self.random, self.cuts, self.lost_acks = random.Random(seed), cuts, lost_acks
        self.messages: list[Message] = []
        self.replies: list[tuple[str, Properties, bytes]] = []
        self.links = self.settlements = self.beats = 0
        self._heartbeat = heartbeat
        self.cancelled: list[str] = []
        self.deaf = False  # reads nothing more
        self.port = 0
        self.out: dict[int, Message] = {}
        self._queues: dict[str, str] = {}  # queue: consumer tag
        self._writer: LinkWriter | None = None
        self._content: commands.Basic.Publish | None = None  # that a reply is being received for
        self._tag, self._window = 0, 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack ends."""
        server = await asyncio.start_server(self._link, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = int(server.sockets[0].getsockname()[1])

    def put(self, queue: str, data: bytes, **properties: object) -> Message:
        """Put a message into a queue."""
        message = Message(queue, Properties(**properties), data)  # type: ignore[arg-type]
        self.messages.append(message)
        self.pump()
        return message

    def cut(self) -> None:
        """Lose the link: all that is out is delivered again."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None
        for message in self.out.values():
            message.redelivered = True
        self.out, self._queues = {}, {}

    def pump(self) -> None:
        """Deliver what is ready, as far as the prefetch allows."""
        out = [id(message) for message in self.out.values()]
        for message in self.messages:
            if (
                message.queue in self._queues
                and not message.settled
                and id(message) not in out
                and len(self.out) < self._window
            ):
                self.deliver(message)

    def deliver(self, message: Message) -> None:
        """Deliver a message now, whatever the prefetch is."""
        assert self._writer is not None
        self._tag += 1
        self.out[self._tag] = message
        message.deliveries += 1
        head = frame.marshal(header.ContentHeader(0, len(message.data), message.properties), 1)
        self._writer.write(
            frame.marshal(
                commands.Basic.Deliver(
                    self._queues.get(message.queue, "q0"), self._tag, message.redelivered, "", message.queue
                ),
                1,
            )
        )
        self._writer.write(message.raw_header or head)
        if message.data:
            self._writer.write(frame.marshal(body.ContentBody(message.data), 1))

    @property
    def lost(self) -> bool:
        """Whether no link stands."""
        return self._writer is None or self._writer.transport.is_closing()

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readexactly(8) == PROTOCOL_HEADER
        self.begin(writer)
        parser = FrameParser()
        while data := await self._read(reader):
            while self.deaf:
                await asyncio.sleep(DEAF_POLL_S)
            parser.feed(data)
            self.receive(parser, writer)

    def begin(self, writer: LinkWriter) -> None:
        """Serve a new link in place of the old one."""
        self.cut()
        self._writer, self._tag, self._content = writer, 0, None
        self.links += 1
        writer.write(frame.marshal(commands.Connection.Start(mechanisms="PLAIN AMQPLAIN"), 0))

    def receive(self, parser: FrameParser, writer: LinkWriter) -> None:
        """Take in the frames that a parser has, for as long as its link is the present one."""
        while self._writer is writer and (got := parser.next()) is not None:
            value = decode(got[2])
            self.beats += got[0] == 8
            if isinstance(value, commands.Basic.Publish):
                self._content = value
            elif isinstance(value, header.ContentHeader) and self._content is not None:
                self.replies.append((str(self._content.routing_key), value.properties or Properties(), b""))
            elif isinstance(value, body.ContentBody):
                queue, properties, got_so_far = self.replies.pop()
                self.replies.append((queue, properties, got_so_far + (value.value or b"")))
            elif isinstance(value, base.Frame):
                self._method(writer, value)

    def describe(self) -> str:
        """What a failure needs to be understood."""
        unsettled = [message for message in self.messages if not message.settled]
        return (
            f"stand-in broker: link {self.links}, lost {self.lost}, deaf {self.deaf}, window {self._window}, "
            f"consumers {self._queues}, cancelled {len(self.cancelled)}, settlements {self.settlements}, "
            f"last tag {self._tag}, open tags {sorted(self.out)[:20]} of {len(self.out)}, "
            f"not settled {len(unsettled)} of {len(self.messages)}, delivered {[m.deliveries for m in unsettled[:20]]}"
        )

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(READ_BYTES)
        except OSError:
            return b""

    def _method(self, writer: LinkWriter, method: base.Frame) -> None:
        def answer(value: base.Frame, channel: int) -> None:
            writer.write(frame.marshal(value, channel))

        match method:
            case commands.Connection.StartOk():
                assert method.response == "\0chutepin\0cane"
                answer(commands.Connection.Tune(2047, 131072, self._heartbeat), 0)
            case commands.Connection.Open():
                answer(commands.Connection.OpenOk(), 0)
            case commands.Channel.Open():
                answer(commands.Channel.OpenOk(), 1)
            case commands.Basic.Qos():
                self._window = method.prefetch_count or 0
                answer(commands.Basic.QosOk(), 1)
            case commands.Basic.Consume():
                self._queues[str(method.queue)] = str(method.consumer_tag)
            case commands.Basic.Cancel():
                self.cancelled.append(str(method.consumer_tag))
                self._queues = {q: tag for q, tag in self._queues.items() if tag != method.consumer_tag}
            case commands.Basic.Ack() | commands.Basic.Nack() | commands.Basic.Reject():
                self._settle(method)
        self.pump()

    def _settle(self, method: commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject) -> None:
        self.settlements += 1
        if self.random.random() < self.lost_acks:
            self.cut()  # the client believes it settled; the broker does not know
            return
        message = self.out.pop(int(method.delivery_tag or 0))  # a second outcome would be a KeyError
        if isinstance(method, commands.Basic.Ack):
            message.settled = "ack"
        elif method.requeue:
            message.redelivered = True
        else:
            message.settled = "reject"
        if self.random.random() < self.cuts:
            self.cut()
