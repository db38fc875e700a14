"""A stand-in AMQP 0-9-1 broker with queues, prefetch and injected faults: lost settlements and cut links."""

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
DEAF_POLL_INTERVAL_S = 0.01  # between checks of `deaf`


@dataclass
class Message:
    """A message in a queue: ready, delivered and unsettled, or settled.

    `settled` is "ack", "reject" or empty."""

    queue: str
    properties: Properties
    data: bytes
    redelivered: bool = False
    settled: str = ""
    deliveries: int = 0
    raw_header: bytes = b""


class LinkTransport(Protocol):
    """The part of `asyncio.Transport` that the stand-in uses."""

    def abort(self) -> None:
        """Close the connection without flushing."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing."""


class LinkWriter(Protocol):
    """The part of `asyncio.StreamWriter` that the stand-in uses."""

    @property
    def transport(self) -> LinkTransport:
        """Return the underlying transport."""

    def write(self, data: bytes) -> None:
        """Queue bytes for sending."""


class StandinBroker:
    """An AMQP broker with one link at a time, queues and prefetch.

    `cuts` and `lost_acks` are the probabilities that the link is cut after a settlement and that a settlement is lost
    together with the link."""

    def __init__(self, seed: int = 1, cuts: float = 0.0, lost_acks: float = 0.0, heartbeat: int = 60) -> None:
        self.random, self.cuts, self.lost_acks = random.Random(seed), cuts, lost_acks
        self.messages: list[Message] = []
        self.replies: list[tuple[str, Properties, bytes]] = []
        self.links = self.settlements = self.beats = 0
        self._heartbeat = heartbeat
        self.cancelled: list[str] = []
        self.deaf = False  # true: data on the link is neither processed nor read further
        self.port = 0
        self.out: dict[int, Message] = {}
        self._consumer_tags: dict[str, str] = {}  # queue: consumer tag
        self._writer: LinkWriter | None = None
        self._publish: commands.Basic.Publish | None = None  # the publish whose content is being received
        self._tag, self._prefetch_count = 0, 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a loopback port until the stack is closed."""
        server = await asyncio.start_server(self._serve_link, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = int(server.sockets[0].getsockname()[1])

    def put(self, queue: str, data: bytes, **properties: object) -> Message:
        """Add a message to a queue and deliver what the prefetch allows."""
        message = Message(queue, Properties(**properties), data)  # type: ignore[arg-type]
        self.messages.append(message)
        self.pump()
        return message

    def cut(self) -> None:
        """Abort the link; unsettled messages become ready for redelivery."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None
        for message in self.out.values():
            message.redelivered = True
        self.out, self._consumer_tags = {}, {}

    def pump(self) -> None:
        """Deliver ready messages up to the prefetch limit."""
        out = [id(message) for message in self.out.values()]
        for message in self.messages:
            if (
                message.queue in self._consumer_tags
                and not message.settled
                and id(message) not in out
                and len(self.out) < self._prefetch_count
            ):
                self.deliver(message)

    def deliver(self, message: Message) -> None:
        """Deliver a message now, even beyond the prefetch limit."""
        assert self._writer is not None
        self._tag += 1
        self.out[self._tag] = message
        message.deliveries += 1
        head = frame.marshal(header.ContentHeader(0, len(message.data), message.properties), 1)
        self._writer.write(
            frame.marshal(
                commands.Basic.Deliver(
                    self._consumer_tags.get(message.queue, "q0"), self._tag, message.redelivered, "", message.queue
                ),
                1,
            )
        )
        self._writer.write(message.raw_header or head)
        if message.data:
            self._writer.write(frame.marshal(body.ContentBody(message.data), 1))

    @property
    def lost(self) -> bool:
        """Return whether there is no open link."""
        return self._writer is None or self._writer.transport.is_closing()

    async def _serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readexactly(8) == PROTOCOL_HEADER
        self.begin(writer)
        parser = FrameParser()
        while data := await self._read(reader):
            while self.deaf:
                await asyncio.sleep(DEAF_POLL_INTERVAL_S)
            parser.feed(data)
            self.receive(parser, writer)

    def begin(self, writer: LinkWriter) -> None:
        """Cut the old link and start the handshake on a new one."""
        self.cut()
        self._writer, self._tag, self._publish = writer, 0, None
        self.links += 1
        writer.write(frame.marshal(commands.Connection.Start(mechanisms="PLAIN AMQPLAIN"), 0))

    def receive(self, parser: FrameParser, writer: LinkWriter) -> None:
        """Process the frames that a parser holds while `writer` is the current link."""
        while self._writer is writer and (received := parser.next()) is not None:
            value = decode(received[2])
            self.beats += received[0] == 8
            if isinstance(value, commands.Basic.Publish):
                self._publish = value
            elif isinstance(value, header.ContentHeader) and self._publish is not None:
                self.replies.append((str(self._publish.routing_key), value.properties or Properties(), b""))
            elif isinstance(value, body.ContentBody):
                queue, properties, received_body = self.replies.pop()
                self.replies.append((queue, properties, received_body + (value.value or b"")))
            elif isinstance(value, base.Frame):
                self._handle_method(writer, value)

    def describe(self) -> str:
        """Return the state of the broker, for the message of a failed test."""
        unsettled = [message for message in self.messages if not message.settled]
        return (
            f"stand-in broker: link {self.links}, lost {self.lost}, deaf {self.deaf}, window {self._prefetch_count}, "
            f"consumers {self._consumer_tags}, cancelled {len(self.cancelled)}, settlements {self.settlements}, "
            f"last tag {self._tag}, open tags {sorted(self.out)[:20]} of {len(self.out)}, "
            f"not settled {len(unsettled)} of {len(self.messages)}, delivered {[m.deliveries for m in unsettled[:20]]}"
        )

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(READ_BYTES)
        except OSError:
            return b""

    def _handle_method(self, writer: LinkWriter, method: base.Frame) -> None:
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
                self._prefetch_count = method.prefetch_count or 0
                answer(commands.Basic.QosOk(), 1)
            case commands.Basic.Consume():
                self._consumer_tags[str(method.queue)] = str(method.consumer_tag)
            case commands.Basic.Cancel():
                self.cancelled.append(str(method.consumer_tag))
                self._consumer_tags = {q: tag for q, tag in self._consumer_tags.items() if tag != method.consumer_tag}
            case commands.Basic.Ack() | commands.Basic.Nack() | commands.Basic.Reject():
                self._settle(method)
        self.pump()

    def _settle(self, method: commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject) -> None:
        self.settlements += 1
        if self.random.random() < self.lost_acks:
            self.cut()  # the settlement is lost: the message stays unsettled at the broker
            return
        message = self.out.pop(int(method.delivery_tag or 0))  # a second settlement raises KeyError
        if isinstance(method, commands.Basic.Ack):
            message.settled = "ack"
        elif method.requeue:
            message.redelivered = True
        else:
            message.settled = "reject"
        if self.random.random() < self.cuts:
            self.cut()
