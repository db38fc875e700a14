"""One AMQP connection with one channel, as a sans-I/O state machine."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from pamqp import base, body, commands, frame, header

from ...config import AmqpConfig
from ...counters import Counters
from ..lines import ProtocolError
from .frames import FRAME_HEADER_BYTES, HEADER, HEARTBEAT, MAX_FRAME_BYTES, METHOD, FrameParser, decode

CHANNEL = 1
MIN_FRAME_BYTES = 4096  # the smallest frame-max that AMQP allows
MIN_HEADER_BYTES = FRAME_HEADER_BYTES + 12 + 1  # class, weight, body size; frame-end byte
BODY_SIZE = slice(FRAME_HEADER_BYTES + 4, FRAME_HEADER_BYTES + 12)  # position in a content header
PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"


class State(Enum):
    """The stage that the opening of a session has reached."""

    START = 0
    TUNE = 1
    OPEN = 2
    CHANNEL = 3
    WINDOW = 4
    READY = 5
    CLOSED = 6


@dataclass(slots=True)
class Content:
    """A delivery whose content is being received."""

    deliver: commands.Basic.Deliver
    properties: commands.Basic.Properties | None = None  # None if they could not be decoded
    body_bytes: int = -1  # -1 until the content header is received
    received_bytes: int = 0
    parts: list[bytes] = field(default_factory=list)
    decoding_error: str = ""  # why the properties could not be decoded


def consumer_tag(index: int) -> str:
    """Return the consumer tag of a queue, from its index in the configuration."""
    return f"q{index}"


class Session:
    """The protocol state of one link, without a socket: writes frames and passes on complete deliveries."""

    def __init__(
        self,
        config: AmqpConfig,
        write: Callable[[bytes], None],
        deliver: Callable[[Session, Content], None],
        counters: Counters,
    ) -> None:
        self._config, self._write, self._deliver, self._counters = config, write, deliver, counters
        self._parser = FrameParser()
        self._receiving: Content | None = None
        self.state = State.START
        self.frame_max = MIN_FRAME_BYTES
        self.heartbeat = 0
        self.unsettled: set[int] = set()
        self.window = 0  # unsettled deliveries allowed by the last basic.qos
        self.consuming: set[int] = set()  # indexes of the queues in the configuration

    def start(self) -> None:
        """Send the protocol header."""
        self._write(PROTOCOL_HEADER)

    def send(self, value: frame.FrameTypes, channel: int = CHANNEL) -> None:
        """Write one frame."""
        self._write(frame.marshal(value, channel))

    def received(self, data: bytes) -> None:
        """Process bytes from the AMQP broker. Raises ProtocolError."""
        self._parser.feed(data)
        while self.state is not State.CLOSED and (received_frame := self._parser.next()) is not None:
            self._handle_frame(*received_frame)

    def lost(self) -> None:
        """Close the session after its link is lost; its delivery tags are no longer valid."""
        self.state = State.CLOSED
        self.unsettled.clear()

    def set_window(self, count: int) -> None:
        """Set the number of unsettled deliveries allowed. 0 is never sent: to the broker it means no limit."""
        if self.state is State.READY and count != self.window and count > 0:
            self.window = count
            self.send(commands.Basic.Qos(prefetch_count=count, global_=True))

    def consume(self, index: int) -> None:
        """Start consuming a queue."""
        if self.state is State.READY and index not in self.consuming:
            self.consuming.add(index)
            name = self._config.queues[index].name
            self.send(commands.Basic.Consume(queue=name, consumer_tag=consumer_tag(index), nowait=True))

    def pause(self, index: int) -> None:
        """Stop consuming a queue; deliveries already in flight still arrive."""
        if self.state is State.READY and index in self.consuming:
            self.consuming.discard(index)
            self.send(commands.Basic.Cancel(consumer_tag=consumer_tag(index), nowait=True))

    def publish(self, queue: str, properties: commands.Basic.Properties, data: bytes) -> None:
        """Publish a message to a queue through the default exchange."""
        self.send(commands.Basic.Publish(routing_key=queue))
        self.send(header.ContentHeader(body_size=len(data), properties=properties))
        payload_bytes = self.frame_max - FRAME_HEADER_BYTES - 1
        for offset in range(0, len(data), payload_bytes):
            self.send(body.ContentBody(data[offset : offset + payload_bytes]))

    def settle(self, tag: int, method: base.Frame) -> bool:
        """Settle a delivery once; return False if it is already settled or its link is lost."""
        if tag not in self.unsettled:
            return False
        self.unsettled.discard(tag)
        self.send(method)
        return True

    def close(self) -> None:
        """Close the connection in order; called only once every delivery is settled."""
        if self.state is not State.CLOSED:
            self.send(commands.Connection.Close(200, "leaving", 0, 0), 0)
            self.state = State.CLOSED

    def _handle_frame(self, frame_type: int, channel: int, raw: bytes) -> None:
        if frame_type == HEARTBEAT:
            return
        if channel not in (0, CHANNEL):
            raise ProtocolError("frame on a channel that is not open")
        if frame_type == METHOD:
            if self._receiving is not None:
                raise ProtocolError("method frame inside a content")
            self._handle_method(decode(raw))
        elif self._receiving is None:
            raise ProtocolError("content without a delivery")
        elif frame_type == HEADER:
            self._handle_header(self._receiving, raw)
        else:
            self._handle_body(self._receiving, raw[FRAME_HEADER_BYTES:-1])

    def _handle_method(self, method: object) -> None:
        match method:
            case commands.Connection.Start() if self.state is State.START:
                self._authenticate(method)
            case commands.Connection.Tune() if self.state is State.TUNE:
                self._tune(method)
            case commands.Connection.OpenOk() if self.state is State.OPEN:
                self.send(commands.Channel.Open())
                self.state = State.CHANNEL
            case commands.Channel.OpenOk() if self.state is State.CHANNEL:
                self.window = self._config.prefetch
                self.send(commands.Basic.Qos(prefetch_count=self.window, global_=True))
                self.state = State.WINDOW
            case commands.Basic.QosOk() if self.state in (State.WINDOW, State.READY):
                self.state = State.READY
            case commands.Basic.Deliver() if self.state is State.READY:
                self._receiving = Content(method)
            case commands.Channel.Flow():
                self.send(commands.Channel.FlowOk(method.active))
            case commands.Channel.Close() | commands.Connection.Close():
                self._confirm_close(method)
            case _:
                raise ProtocolError(f"unexpected {getattr(method, 'name', 'frame')}")

    def _authenticate(self, start: commands.Connection.Start) -> None:
        if "PLAIN" not in str(start.mechanisms).split():
            raise ProtocolError("AMQP broker does not offer PLAIN authentication")
        secret = f"\0{self._config.user}\0{self._config.password}"
        self.send(commands.Connection.StartOk({"product": "chutepin"}, "PLAIN", secret), 0)
        self.state = State.TUNE

    def _tune(self, tune: commands.Connection.Tune) -> None:
        self.frame_max = max(MIN_FRAME_BYTES, min(tune.frame_max or MAX_FRAME_BYTES, MAX_FRAME_BYTES))
        heartbeats = [seconds for seconds in (tune.heartbeat, self._config.heartbeat) if seconds]
        self.heartbeat = min(heartbeats, default=0)
        self.send(commands.Connection.TuneOk(CHANNEL, self.frame_max, self.heartbeat), 0)
        self.send(commands.Connection.Open(self._config.virtual_host), 0)
        self.state = State.OPEN

    def _confirm_close(self, close: commands.Channel.Close | commands.Connection.Close) -> None:
        if isinstance(close, commands.Connection.Close):
            self.send(commands.Connection.CloseOk(), 0)
        else:
            self.send(commands.Channel.CloseOk())
        raise ProtocolError(f"closed by the AMQP broker: {close.reply_code} {close.reply_text}")

    def _handle_header(self, content: Content, raw: bytes) -> None:
        """Handle a content header.

        Properties that cannot be decoded fail only the delivery, not the link: the body size is a fixed field of the
        frame."""
        if content.body_bytes >= 0 or len(raw) < MIN_HEADER_BYTES:
            raise ProtocolError("second content header, or a truncated one")
        content.body_bytes = int(struct.unpack(">Q", raw[BODY_SIZE])[0])
        try:
            decoded = decode(raw)
            content.properties = decoded.properties if isinstance(decoded, header.ContentHeader) else None
        except ProtocolError as error:
            self._counters.add("amqp.undecodable")
            content.decoding_error = str(error)
        self._deliver_if_complete(content)

    def _handle_body(self, content: Content, data: bytes) -> None:
        if content.body_bytes < 0 or content.received_bytes + len(data) > content.body_bytes:
            raise ProtocolError("body is longer than the content header declares")
        content.received_bytes += len(data)
        if content.body_bytes <= self._config.max_body:  # a body that is too large is discarded
            content.parts.append(data)
        self._deliver_if_complete(content)

    def _deliver_if_complete(self, content: Content) -> None:
        if content.received_bytes < content.body_bytes:
            return
        self._receiving = None
        tag = content.deliver.delivery_tag
        if not isinstance(tag, int) or tag in self.unsettled or len(self.unsettled) >= self._config.prefetch:
            raise ProtocolError("delivery outside the window, or delivery tag already open")
        self.unsettled.add(tag)
        self._counters.add("amqp.deliveries")
        self._deliver(self, content)
