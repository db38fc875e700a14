"""AMQP 0-9-1 as a consumer: deliveries become requests of the same core, under the same rules.

How a delivery is settled, once and for all:

- served: the reply is published where `reply-to` asks for one, then `basic.ack`;
- refused, so it never ran: `basic.nack` with requeue, for another consumer or a later time. Its queue is not
  consumed for as long as the refusal advises, or what was refused would come back at once;
- failed, so it may have had its effect: a reply that says so, then `basic.reject` without requeue;
- expired or malformed: `basic.reject` without requeue. A queue with a dead-letter exchange keeps both.

The key of a delivery is its `message-id`, never the delivery tag. Its deadline is absolute: the header
`x-due-ms` (Unix milliseconds), else `expiration` counted from `timestamp` or the delivery, and never later
than the contract's.
"""

from __future__ import annotations

import asyncio
import math
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from ..broker import Answer, Broker, Request, Verdict
from ..clock import Clock
from ..config import AmqpConfig, QueueConfig
from ..counters import Counters
from ..logs import Log
from .lines import ProtocolError

FRAME_MAX = 64 * 1024
MAX_UNSENT = 2**20  # bytes that the broker may leave unread before the link is given up
MIN_PAUSE = 0.25  # seconds that a queue is left alone after a refusal, at least
LOOK = 0.25  # seconds between looks at heartbeats, pauses and the window
AGAIN_AFTER, AGAIN_AT_MOST = 0.1, 30.0  # seconds between attempts to connect, doubled up to the most
OPEN_BY = 10.0  # seconds after the connection stands at which the session must be open
CHANNEL = 1
GREETING = b"AMQP\x00\x00\x09\x01"


class State(Enum):
    """How far a session is open."""

    START = 0
    TUNE = 1
    OPEN = 2
    CHANNEL = 3
    WINDOW = 4
    READY = 5
    CLOSED = 6


class FrameParser:
    """Whole frames out of a stream: type, channel and the raw frame; a frame over the bound ends the link."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """The next whole frame, or None until more is fed."""
        if len(self._buffer) < 7:
            return None
        kind, channel, size = struct.unpack(">BHI", self._buffer[:7])
        if kind not in (1, 2, 3, 8) or size > FRAME_MAX:
            raise ProtocolError("not a frame, or one over the negotiated size")
        if len(self._buffer) < size + 8:
            return None
        raw = bytes(self._buffer[: size + 8])
        if raw[-1] != 0xCE:
            raise ProtocolError("a frame does not end where its size says")
        del self._buffer[: size + 8]
        return kind, channel, raw


def decode(raw: bytes) -> object:
    """A frame by pamqp. Guards against what its decoder raises on malformed input, of whatever kind."""
    try:
        return frame.unmarshal(raw)[2]
    except (
        exceptions.PAMQPException,
        ValueError,
        LookupError,
        TypeError,
        ArithmeticError,
        OSError,
        struct.error,
        AttributeError,
    ) as error:
        raise ProtocolError(f"a frame that cannot be decoded: {type(error).__name__}") from None


@dataclass(slots=True)
class Content:
    """A delivery that is arriving."""

    deliver: commands.Basic.Deliver
    properties: commands.Basic.Properties | None = None  # None: they could not be decoded
    size: int = -1  # until the header has come
    got: int = 0
    parts: list[bytes] = field(default_factory=list)


class Session:
    """The protocol of one link, without a socket: what to write, and the deliveries that came whole."""

    def __init__(
        self,
        config: AmqpConfig,
        write: Callable[[bytes], None],
        deliver: Callable[[Session, Content], None],
        counters: Counters,
    ) -> None:
        self._config, self._write, self._deliver, self._counters = config, write, deliver, counters
        self._parser = FrameParser()
        self._content: Content | None = None
        self.state = State.START
        self.frame_max, self.heartbeat = 4096, 0
        self.unsettled: set[int] = set()
        self._window = 0
        self.consuming: set[int] = set()  # queues by their place in the configuration

    def begin(self) -> None:
        """Greet the broker."""
        self._write(GREETING)

    def send(self, value: frame.FrameTypes, channel: int = CHANNEL) -> None:
        """Write one frame."""
        self._write(frame.marshal(value, channel))

    def received(self, data: bytes) -> None:
        """Take in what the broker wrote."""
        self._parser.feed(data)
        while self.state is not State.CLOSED and (got := self._parser.next()) is not None:
            self._frame(*got)

    def lost(self) -> None:
        """The link is gone; its delivery tags mean nothing any more."""
        self.state = State.CLOSED
        self.unsettled.clear()

    # --- what the consumer asks for ---

    def set_window(self, count: int) -> None:
        """At most this many unsettled deliveries; 0 would mean no limit and is never written."""
        if self.state is State.READY and count != self._window and count > 0:
            self._window = count
            self.send(commands.Basic.Qos(prefetch_count=count, global_=True))

    def consume(self, index: int) -> None:
        """Take deliveries of a queue."""
        if self.state is State.READY and index not in self.consuming:
            self.consuming.add(index)
            name = self._config.queues[index].name
            self.send(commands.Basic.Consume(queue=name, consumer_tag=f"q{index}", nowait=True))

    def pause(self, index: int) -> None:
        """Take no more of them; what is on its way still comes."""
        if self.state is State.READY and index in self.consuming:
            self.consuming.discard(index)
            self.send(commands.Basic.Cancel(consumer_tag=f"q{index}", nowait=True))

    def publish(self, queue: str, properties: commands.Basic.Properties, data: bytes) -> None:
        """A message to a queue, by the default exchange."""
        self.send(commands.Basic.Publish(routing_key=queue))
        self.send(header.ContentHeader(body_size=len(data), properties=properties))
        step = self.frame_max - 8
        for at in range(0, len(data), step):
            self.send(body.ContentBody(data[at : at + step]))

    def settle(self, tag: int, method: base.Frame) -> bool:
        """The one outcome of a delivery; false where the link that it came on is gone."""
        if tag not in self.unsettled:
            return False
        self.unsettled.discard(tag)
        self.send(method)
        return True

    def close(self) -> None:
        """Leave in good order; only once all is settled."""
        if self.state is not State.CLOSED:
            self.send(commands.Connection.Close(200, "leaving", 0, 0), 0)
            self.state = State.CLOSED

    # --- what the broker sends ---

    def _frame(self, kind: int, channel: int, raw: bytes) -> None:
        if kind == 8:
            return
        if channel not in (0, CHANNEL):
            raise ProtocolError("a frame on a channel that was never opened")
        if kind == 1:
            if self._content is not None:
                raise ProtocolError("a method inside a content")
            self._method(decode(raw))
        elif self._content is None:
            raise ProtocolError("content without a delivery")
        elif kind == 2:
            self._header(self._content, raw)
        else:
            self._body(self._content, raw[7:-1])

    def _method(self, method: object) -> None:
        match method:
            case commands.Connection.Start() if self.state is State.START:
                if "PLAIN" not in str(method.mechanisms).split():
                    raise ProtocolError("the broker does not offer PLAIN")
                secret = f"\0{self._config.user}\0{self._config.password}"
                self.send(commands.Connection.StartOk({"product": "chutepin"}, "PLAIN", secret), 0)
                self.state = State.TUNE
            case commands.Connection.Tune() if self.state is State.TUNE:
                self.frame_max = max(4096, min(method.frame_max or FRAME_MAX, FRAME_MAX))
                beats = [beat for beat in (method.heartbeat, self._config.heartbeat) if beat]
                self.heartbeat = min(beats, default=0)
                self.send(commands.Connection.TuneOk(CHANNEL, self.frame_max, self.heartbeat), 0)
                self.send(commands.Connection.Open(self._config.virtual_host), 0)
                self.state = State.OPEN
            case commands.Connection.OpenOk() if self.state is State.OPEN:
                self.send(commands.Channel.Open())
                self.state = State.CHANNEL
            case commands.Channel.OpenOk() if self.state is State.CHANNEL:
                self._window = self._config.prefetch
                self.send(commands.Basic.Qos(prefetch_count=self._window, global_=True))
                self.state = State.WINDOW
            case commands.Basic.QosOk() if self.state in (State.WINDOW, State.READY):
                self.state = State.READY
            case commands.Basic.Deliver() if self.state is State.READY:
                self._content = Content(method)
            case commands.Channel.Flow():
                self.send(commands.Channel.FlowOk(method.active))
            case commands.Channel.Close() | commands.Connection.Close():
                whole = isinstance(method, commands.Connection.Close)
                self.send(
                    commands.Connection.CloseOk() if whole else commands.Channel.CloseOk(), 0 if whole else CHANNEL
                )
                raise ProtocolError(f"closed by the broker: {method.reply_code} {method.reply_text}")
            case _:
                raise ProtocolError(f"unexpected {getattr(method, 'name', 'frame')}")

    def _header(self, content: Content, raw: bytes) -> None:
        """Guards against poison: properties that cannot be decoded end that delivery, not the link. Where the
        body ends is told by a fixed part of the frame."""
        if content.size >= 0 or len(raw) < 7 + 12 + 1:
            raise ProtocolError("a second content header, or one cut short")
        content.size = int(struct.unpack(">Q", raw[11:19])[0])
        try:
            decoded = decode(raw)
            content.properties = decoded.properties if isinstance(decoded, header.ContentHeader) else None
        except ProtocolError:
            self._counters.add("amqp.undecodable")
        self._whole(content)

    def _body(self, content: Content, data: bytes) -> None:
        if content.size < 0 or content.got + len(data) > content.size:
            raise ProtocolError("more body than the header says")
        content.got += len(data)
        if content.size <= self._config.max_body:  # what is too large is skipped, not kept
            content.parts.append(data)
        self._whole(content)

    def _whole(self, content: Content) -> None:
        if content.got < content.size:
            return
        self._content = None
        tag = content.deliver.delivery_tag
        if not isinstance(tag, int) or tag in self.unsettled or len(self.unsettled) >= self._config.prefetch:
            raise ProtocolError("a delivery outside the window, or a tag that is open")
        self.unsettled.add(tag)
        self._counters.add("amqp.deliveries")
        self._deliver(self, content)


@dataclass(slots=True)
class Delivery:
    """Who gets a request's answer: one delivery on one link."""

    consumer: Consumer
    session: Session
    tag: int
    queue: int
    properties: commands.Basic.Properties

    def answer(self, answer: Answer) -> None:
        """Settle it."""
        self.consumer.settle(self, answer)


class Consumer:
    """Turns deliveries into requests and answers into settlements. Lives as long as the node; links come and
    go."""

    def __init__(
        self, config: AmqpConfig, broker: Broker, clock: Clock, counters: Counters, log: Log, seed: int
    ) -> None:
        self.config, self.broker, self.clock, self.counters, self.log = config, broker, clock, counters, log
        self._random = random.Random(seed)
        self._open: dict[str, Delivery] = {}
        self._again_at = [0.0] * len(config.queues)  # when each queue may be consumed again
        self._leaving = False
        self._link: asyncio.WriteTransport | None = None
        self._wants = [cls.priority_weight for cls in broker.classes.values()]

    # --- from the broker's deliveries to requests ---

    def delivered(self, session: Session, content: Content) -> None:
        """A whole delivery. What can never be served is rejected for good; requeued, it would come again."""
        tag, tags = int(content.deliver.delivery_tag or 0), str(content.deliver.consumer_tag)
        index = int(tags[1:]) if tags[:1] == "q" and tags[1:].isdigit() else -1
        try:
            if not 0 <= index < len(self.config.queues):
                raise ProtocolError("an unknown consumer tag")
            if content.properties is None or content.size > self.config.max_body:
                raise ProtocolError("properties that cannot be decoded, or a body that is too long")
            queue = self.config.queues[index]
            request = self._request(queue, content, content.properties)
        except ProtocolError as error:
            self.counters.add("amqp.malformed")
            self.log.event("amqp.rejected", why=str(error))
            session.settle(tag, commands.Basic.Reject(tag, requeue=False))
            return
        if request.due <= self.clock.now():
            self.counters.add("amqp.expired")
            session.settle(tag, commands.Basic.Reject(tag, requeue=False))
            return
        delivery = Delivery(self, session, tag, index, content.properties)
        self._open[request.id] = delivery
        self.broker.pick(request, delivery)
        if tag not in session.unsettled:  # answered at once
            self._open.pop(request.id, None)

    def _request(self, queue: QueueConfig, content: Content, properties: commands.Basic.Properties) -> Request:
        now = self.clock.now()
        contract = self.broker.classes[queue.cls]
        keyed = contract.idempotency.value == "keyed"
        key = properties.message_id
        if keyed and not key:
            raise ProtocolError("a work order without message-id")
        data = b"".join(content.parts)
        worths = sorted(self._wants)
        return Request(
            id=f"{self._random.getrandbits(64):016x}",
            cls=queue.cls,
            body=data,
            arrived=now,
            due=min(now + contract.deadline, self._due(properties, now)),
            size=queue.held_kb,
            tenant=queue.team,
            key=f"amqp {queue.name} {key}" if keyed else None,
            rank=(worths.index(contract.priority_weight) + 0.5) / len(worths),
            is_retry=bool(content.deliver.redelivered),
            watched=False,
            remembered=self.config.redelivery_window,
        )

    @staticmethod
    def _due(properties: commands.Basic.Properties, now: float) -> float:
        told = (properties.headers or {}).get("x-due-ms")
        if told is not None:
            if isinstance(told, bool) or not isinstance(told, int):
                raise ProtocolError("x-due-ms is no whole number")
            return told / 1000
        if not properties.expiration:
            return math.inf
        if (
            not properties.expiration.isascii()
            or not properties.expiration.isdigit()
            or len(properties.expiration) > 15
        ):
            raise ProtocolError("expiration is no whole number")
        sent = properties.timestamp
        start = sent.timestamp() if isinstance(sent, datetime) else now
        return start + int(properties.expiration) / 1000

    # --- from answers to settlements ---

    def settle(self, delivery: Delivery, answer: Answer) -> None:
        """One final outcome; where the link is gone the broker delivers again and the key answers."""
        session, tag, properties = delivery.session, delivery.tag, delivery.properties
        if tag not in session.unsettled:
            self.counters.add("amqp.settled_too_late")
            return
        if answer.verdict is Verdict.REJECTED:
            self.counters.add("amqp.nack")
            session.settle(tag, commands.Basic.Nack(tag, requeue=True))
            self._again_at[delivery.queue] = self.clock.now() + max(MIN_PAUSE, answer.retry_after)
            session.pause(delivery.queue)
            return
        if properties.reply_to:
            self.counters.add("amqp.replies")
            session.publish(
                properties.reply_to,
                commands.Basic.Properties(
                    correlation_id=properties.correlation_id or properties.message_id,
                    headers={"outcome": answer.verdict.value},
                ),
                answer.body,
            )
        served = answer.verdict is Verdict.SERVED
        self.counters.add("amqp.ack" if served else "amqp.reject")
        session.settle(tag, commands.Basic.Ack(tag) if served else commands.Basic.Reject(tag, requeue=False))

    def lost(self, session: Session) -> None:
        """A link is gone. What is safe to repeat is dropped, the broker delivers it again; a work order goes
        on, so that its redelivery finds the result."""
        session.lost()
        for id, delivery in list(self._open.items()):
            if delivery.session is session:
                del self._open[id]
                if self.broker.classes[self.config.queues[delivery.queue].cls].idempotency.value != "keyed":
                    self.broker.caller_disconnected(id)

    def look(self, session: Session) -> None:
        """Keep the window and the pauses: the free value is the window, 0 closes it."""
        self._open = {id: d for id, d in self._open.items() if d.tag in d.session.unsettled}
        value, now = self.broker.value, self.clock.now()
        if not self.broker.started:  # nothing could run yet
            value = 0.0
        window = self.config.prefetch if value is None else min(self.config.prefetch, math.ceil(value))
        session.set_window(window)
        for index, again_at in enumerate(self._again_at):
            if window > 0 and not self._leaving and now >= again_at:
                session.consume(index)
            else:
                session.pause(index)

    def leave(self) -> None:
        """Take no more deliveries."""
        self._leaving = True

    @property
    def settled(self) -> bool:
        """Nothing is open on any link, and what was settled has left the process: an acknowledgement that stays
        behind has its delivery come again, to a process that knows nothing of it."""
        unsent = self._link is not None and self._link.get_write_buffer_size() > 0
        return not unsent and not any(delivery.tag in delivery.session.unsettled for delivery in self._open.values())

    # --- the socket ---

    async def run(self) -> None:
        """Connect, and again whenever the link is lost, until cancelled. A link that never served makes the
        next attempt wait longer: guards against a message or a broker that breaks every link at once."""
        pause, address = AGAIN_AFTER, self.config.address
        while True:
            try:
                reader, writer = await asyncio.open_connection(address.host, address.port)
            except OSError:
                self.counters.add("amqp.refused")
            else:
                self.counters.add("amqp.links")
                if await self._serve(reader, writer):
                    pause = AGAIN_AFTER
            await asyncio.sleep(pause * (0.5 + self._random.random()))
            pause = min(2 * pause, AGAIN_AT_MOST)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One link; true if it settled anything."""

        def write(data: bytes) -> None:
            writer.write(data)
            if writer.transport.get_write_buffer_size() > MAX_UNSENT:
                # Guards memory against a broker that stops reading what we acknowledge.
                self.counters.add("amqp.stuck")
                writer.transport.abort()

        session = Session(self.config, write, self.delivered, self.counters)
        self._link = writer.transport
        before = self._settlements()
        try:
            session.begin()
            await self._read(session, reader)
        except OSError as error:
            self.log.event("amqp.lost", why=str(error) or type(error).__name__)
        except ProtocolError as error:
            self.counters.add("amqp.protocol")
            self.log.event("amqp.protocol", why=str(error))
        except Exception as error:  # guards the front's life: a fault of ours costs one link, not the node
            self.counters.add("errors")
            self.log.event("amqp.error", error=repr(error))
        finally:
            if self._leaving and self.settled:
                session.close()
                writer.close()
            else:
                writer.transport.abort()
            self._link = None
            self.lost(session)
        return self._settlements() > before

    def _settlements(self) -> int:
        return sum(self.counters.counts[f"amqp.{name}"] for name in ("ack", "nack", "reject"))

    async def _read(self, session: Session, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        heard = beat = began = loop.time()
        while True:
            data = b""
            try:
                async with asyncio.timeout_at(loop.time() + LOOK):
                    data = await reader.read(65536)
                if not data:
                    raise ConnectionError("the broker closed the link")
                heard = loop.time()
            except TimeoutError:
                if reader.exception() is not None:
                    # The socket's own time-out has the same type, and comes again at once with every read.
                    raise ConnectionError("the link timed out") from None
            session.received(data)
            now = loop.time()
            if session.state is not State.READY and now > began + OPEN_BY:
                raise ProtocolError("the session did not open in time")
            if session.heartbeat:
                if now > heard + 2 * session.heartbeat:
                    raise ProtocolError("no heartbeat from the broker")
                if now >= beat + session.heartbeat / 2:
                    beat = now
                    session.send(heartbeat.Heartbeat(), 0)
            self.look(session)
