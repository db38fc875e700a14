"""The AMQP consumer: deliveries become requests of the broker, answers become settlements.

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
from dataclasses import dataclass

from pamqp import commands, heartbeat

from ...broker import Answer, Broker, Request, Verdict
from ...clock import Clock
from ...config import AmqpConfig, QueueConfig
from ...counters import Counters
from ...decision import LoadSignal
from ...logs import Log
from ..lines import ProtocolError
from .reconnect import ReconnectDelay
from .requests import request_from
from .session import Content, Session, State, consumer_tag

MAX_UNSENT_BYTES = 2**20  # that the AMQP broker may leave unread before the link is given up
MIN_QUEUE_PAUSE_S = 0.25  # that a queue is left alone after a refusal, at least
CHECK_INTERVAL_S = 0.25  # between looks at heartbeats, pauses and the window
OPEN_TIMEOUT_S = 10.0  # in which a session must be open, counted from its connection
READ_BYTES = 65536


def consumption_window(signal: LoadSignal, value: float | None, prefetch: int) -> int:
    """Return how many deliveries may be in hand, 0 for none, by the value that the node announces to its callers.

    A level is the rank below which requests are not to be sent: it closes a part of the window, as a weight does."""
    if value is None:
        return prefetch
    match signal:
        case LoadSignal.CREDIT:
            allowed = value
        case LoadSignal.WEIGHT:
            allowed = value * prefetch
        case LoadSignal.LEVEL:
            allowed = (1.0 - value) * prefetch
        case LoadSignal.NONE:
            allowed = prefetch
    return max(0, min(prefetch, math.ceil(allowed)))


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
    """Turns deliveries into requests and answers into settlements.

    Lives as long as the node; links come and go."""

    def __init__(
        self, config: AmqpConfig, broker: Broker, clock: Clock, counters: Counters, log: Log, seed: int
    ) -> None:
        self.config, self.broker, self.clock, self.counters, self.log = config, broker, clock, counters, log
        self._random = random.Random(seed)
        self._open: dict[str, Delivery] = {}
        self._resume_at = [0.0] * len(config.queues)  # when each queue may be consumed again
        self._leaving = False
        self._link: asyncio.WriteTransport | None = None
        self._session: Session | None = None  # of the present link
        self._weights = sorted(cls.priority_weight for cls in broker.classes.values())
        self._queue_indexes = {consumer_tag(index): index for index in range(len(config.queues))}

    def delivered(self, session: Session, content: Content) -> None:
        """Take in a complete delivery. What can never be served is rejected for good: requeued, it would come again."""
        tag = int(content.deliver.delivery_tag or 0)
        index = self._queue_indexes.get(str(content.deliver.consumer_tag))
        try:
            if index is None:
                raise ProtocolError("an unknown consumer tag")
            if content.properties is None or content.body_bytes > self.config.max_body:
                raise ProtocolError("properties that cannot be decoded, or a body that is too long")
            queue = self.config.queues[index]
            request = self._request_from(content, content.properties, queue)
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
        self.broker.submit(request, delivery)
        if tag not in session.unsettled:  # answered at once
            self._open.pop(request.id, None)

    def _request_from(self, content: Content, properties: commands.Basic.Properties, queue: QueueConfig) -> Request:
        contract = self.broker.classes[queue.cls]
        rank = (self._weights.index(contract.priority_weight) + 0.5) / len(self._weights)
        return request_from(
            content,
            properties,
            queue,
            contract,
            new_id=lambda: f"{self._random.getrandbits(64):016x}",
            rank=rank,
            now=self.clock.now(),
            redelivery_window_s=self.config.redelivery_window,
        )

    def settle(self, delivery: Delivery, answer: Answer) -> None:
        """Settle a delivery by its answer; where the link is gone the broker delivers again and the key answers."""
        session, tag, properties = delivery.session, delivery.tag, delivery.properties
        if tag not in session.unsettled:
            self.counters.add("amqp.settled_too_late")
            return
        if answer.verdict is Verdict.REJECTED:
            self.counters.add("amqp.nack")
            session.settle(tag, commands.Basic.Nack(tag, requeue=True))
            self._resume_at[delivery.queue] = self.clock.now() + max(MIN_QUEUE_PAUSE_S, answer.retry_after)
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
        """A link is gone.

        What is safe to repeat is dropped, the broker delivers it again; a work order goes on, so that its redelivery
        finds the result."""
        session.lost()
        for id, delivery in list(self._open.items()):
            if delivery.session is session:
                del self._open[id]
                if self.broker.classes[self.config.queues[delivery.queue].cls].idempotency.value != "keyed":
                    self.broker.caller_disconnected(id)

    def update_consumption(self, session: Session) -> None:
        """Apply the window that the announced value allows, and the pauses of queues."""
        self._open = {id: d for id, d in self._open.items() if d.tag in d.session.unsettled}
        now = self.clock.now()
        window = 0  # until the executor is up nothing could run
        if self.broker.started:
            window = consumption_window(self.broker.load_signal, self.broker.value, self.config.prefetch)
        session.set_window(window)
        for index, resume_at in enumerate(self._resume_at):
            if window > 0 and not self._leaving and now >= resume_at:
                session.consume(index)
            else:
                session.pause(index)

    def leave(self) -> None:
        """Take no more deliveries."""
        self._leaving = True

    @property
    def settled(self) -> bool:
        """Whether no delivery is open and every acknowledgement has left the process.

        A delivery whose acknowledgement stays behind comes again, to a process that knows nothing of it."""
        unsent = self._link is not None and self._link.get_write_buffer_size() > 0
        return not unsent and not any(delivery.tag in delivery.session.unsettled for delivery in self._open.values())

    def describe(self) -> dict[str, object]:
        """Return what the consumer is doing, for an operator: why a queue is not consumed shows here."""
        now = self.clock.now()
        pauses = [f"{consumer_tag(index)}:{at - now:.1f}s" for index, at in enumerate(self._resume_at) if at > now]
        fields: dict[str, object] = {
            "link": "none" if self._session is None else self._session.state.name.lower(),
            "value": self.broker.value,
            "in_hand": len(self._open),
            "paused": " ".join(pauses) or "none",
        }
        if self._session is not None:
            fields["window"] = self._session.window
            fields["consuming"] = " ".join(map(consumer_tag, sorted(self._session.consuming))) or "none"
            fields["unsettled"] = len(self._session.unsettled)
        return fields

    async def run(self) -> None:
        """Connect, and again whenever the link is lost, until cancelled."""
        loop = asyncio.get_running_loop()
        delay, address = ReconnectDelay(self._random), self.config.address
        while True:
            try:
                reader, writer = await asyncio.open_connection(address.host, address.port)
            except OSError:
                self.counters.add("amqp.refused")
            else:
                self.counters.add("amqp.links")
                opened_at, settlements_before = loop.time(), self._settlements()
                await self._serve(reader, writer)
                delay.link_ended(self._settlements() - settlements_before, loop.time() - opened_at)
            await asyncio.sleep(delay.next())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link until it is lost."""

        def write(data: bytes) -> None:
            writer.write(data)
            if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                # Guards memory against a broker that stops reading what we acknowledge.
                self.counters.add("amqp.stuck")
                writer.transport.abort()

        session = Session(self.config, write, self.delivered, self.counters)
        self._link = writer.transport
        self._session = session
        try:
            session.start()
            await self._read(session, reader)
        except OSError as error:
            self.log.event("amqp.lost", why=str(error) or type(error).__name__)
        except ProtocolError as error:
            self.counters.add("amqp.protocol")
            self.log.event("amqp.protocol", why=str(error))
        except Exception as error:  # noqa: BLE001  whatever it is, it is counted and logged here
            self.counters.add("errors")
            self.log.event("amqp.error", error=repr(error))
        finally:
            if self._leaving and self.settled:
                session.close()
                writer.close()
            else:
                writer.transport.abort()
            self._link = None
            self._session = None
            self.lost(session)

    def _settlements(self) -> int:
        return sum(self.counters.counts[f"amqp.{name}"] for name in ("ack", "nack", "reject"))

    async def _read(self, session: Session, reader: asyncio.StreamReader) -> None:
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        last_received_at = opened_at
        last_sent_at = opened_at
        while True:
            data = b""
            try:
                async with asyncio.timeout_at(loop.time() + CHECK_INTERVAL_S):
                    data = await reader.read(READ_BYTES)
                if not data:
                    raise ConnectionError("the broker closed the link")
                last_received_at = loop.time()
            except TimeoutError:
                if reader.exception() is not None:
                    # The socket's own time-out has the same type, and comes again at once with every read.
                    raise ConnectionError("the link timed out") from None
            session.received(data)
            now = loop.time()
            if session.state is not State.READY and now > opened_at + OPEN_TIMEOUT_S:
                raise ProtocolError("the session did not open in time")
            if session.heartbeat:
                if now > last_received_at + 2 * session.heartbeat:
                    raise ProtocolError("no heartbeat from the broker")
                if now >= last_sent_at + session.heartbeat / 2:
                    last_sent_at = now
                    session.send(heartbeat.Heartbeat(), 0)
            self.update_consumption(session)
