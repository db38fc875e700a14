"""The AMQP consumer: deliveries become requests to the broker, answers become settlements.

A delivery is settled exactly once:

- served: the reply is published if `reply-to` is set, then `basic.ack`;
- rejected, so that it never ran: `basic.nack` with requeue, for another consumer or a later time. The queue is not
  consumed for the retry delay of the answer, as the delivery would otherwise return at once;
- failed, so that it may have taken effect: a reply with that outcome, then `basic.reject` without requeue;
- expired or malformed: `basic.reject` without requeue, so that a dead-letter exchange of the queue keeps it.

The key of a delivery is its `message-id`, never the delivery tag. The deadline is absolute: the header `x-due-ms`
(Unix milliseconds), else `expiration` counted from `timestamp` or from the delivery, and never later than the
deadline of the class."""

from __future__ import annotations

import asyncio
import math
import os
import random
from collections.abc import Callable
from dataclasses import dataclass

from pamqp import commands, heartbeat

from ...broker import Answer, Broker, Request, Verdict
from ...clock import Clock
from ...config import AmqpConfig, QueueConfig
from ...counters import Counters
from ...decision import Idempotency, LoadSignal
from ...logs import Log
from ..lines import ProtocolError
from ..streams import LINK_READ_BYTES, PeerState, open_connection, peer_state
from .reconnect import ReconnectDelay
from .requests import request_from
from .session import Content, Session, State, consumer_tag

MAX_UNSENT_BYTES = 2**20  # over which the link is closed, as the AMQP broker does not read
MIN_QUEUE_PAUSE_S = 0.25  # shortest pause of a queue after a rejected delivery
CHECK_INTERVAL_S = 0.25  # between checks of heartbeats, pauses and the window
REQUEST_ID_BYTES = 8
OPEN_TIMEOUT_S = 10.0  # from the connection to the open session


def consumption_window(signal: LoadSignal, value: float | None, prefetch: int) -> int:
    """Return how many deliveries may be unsettled, 0 for none, by the load value that the node announces.

    A level is the rank below which requests must not be sent; like a weight, it scales the window."""
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


def new_request_id() -> str:
    """Return an id that no other process of the node gives, whatever seed they share."""
    return os.urandom(REQUEST_ID_BYTES).hex()


@dataclass(slots=True)
class Delivery:
    """The destination of one request's answer: a delivery on one link."""

    consumer: Consumer
    session: Session
    tag: int
    queue: int
    properties: commands.Basic.Properties

    def answer(self, answer: Answer) -> None:
        """Settle the delivery by the answer."""
        self.consumer.settle(self, answer)


class Consumer:
    """Turns deliveries into requests and answers into settlements.

    The consumer lives as long as the node and replaces its link whenever it is lost."""

    def __init__(
        self,
        config: AmqpConfig,
        broker: Broker,
        clock: Clock,
        counters: Counters,
        log: Log,
        seed: int,
        accepts_work: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a consumer. `accepts_work`: returns whether this process takes new work for its node now."""
        self.config, self.broker, self.clock, self.counters, self.log = config, broker, clock, counters, log
        self._accepts_work = accepts_work
        self._random = random.Random(seed)
        self._open_deliveries: dict[str, Delivery] = {}
        self._resume_at = [0.0] * len(config.queues)  # by queue index: when it may be consumed again
        self._leaving = False
        self._link: asyncio.WriteTransport | None = None
        self._session: Session | None = None  # of the current link
        self._weights = sorted(cls.priority_weight for cls in broker.classes.values())
        self._queue_indexes = {consumer_tag(index): index for index in range(len(config.queues))}

    def delivered(self, session: Session, content: Content) -> None:
        """Handle a complete delivery.

        A delivery that can never be served is rejected without requeue: requeued, it would be delivered again."""
        if self._has_broker_left():
            self.counters.add("amqp.left_unread")  # a run could not be acknowledged, and would be delivered again
            return
        tag = int(content.deliver.delivery_tag or 0)
        index = self._queue_indexes.get(str(content.deliver.consumer_tag))
        try:
            if index is None:
                raise ProtocolError("unknown consumer tag")
            if content.properties is None:
                raise ProtocolError(f"properties: {content.decoding_error}")
            if content.body_bytes > self.config.max_body:
                self.counters.add("amqp.body_too_long")
                raise ProtocolError(f"body of {content.body_bytes} bytes, at most {self.config.max_body} are taken")
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
        self._open_deliveries[request.id] = delivery
        self.broker.submit(request, delivery)
        if tag not in session.unsettled:  # the broker has answered within `submit`
            self._open_deliveries.pop(request.id, None)

    def _has_broker_left(self) -> bool:
        """Return whether the AMQP broker has ended its side, and delivers again what is being read now."""
        if self._link is None:
            return False
        return self._link.is_closing() or peer_state(self._link.get_extra_info("socket")) is not PeerState.OPEN

    def _request_from(self, content: Content, properties: commands.Basic.Properties, queue: QueueConfig) -> Request:
        contract = self.broker.classes[queue.cls]
        rank = (self._weights.index(contract.priority_weight) + 0.5) / len(self._weights)
        return request_from(
            content,
            properties,
            queue,
            contract,
            new_id=new_request_id,
            rank=rank,
            now=self.clock.now(),
            redelivery_window_s=self.config.redelivery_window,
        )

    def settle(self, delivery: Delivery, answer: Answer) -> None:
        """Settle a delivery by its answer.

        If the link is lost, the AMQP broker delivers the message again, and its key finds the kept answer."""
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
        """Handle the loss of a link.

        Requests that are safe to repeat are dropped, as the AMQP broker delivers them again. The others go on, so that
        the redelivery finds the result."""
        session.lost()
        for id, delivery in list(self._open_deliveries.items()):
            if delivery.session is session:
                del self._open_deliveries[id]
                if self._may_repeat(delivery.queue):
                    self.broker.caller_disconnected(id)

    def update_consumption(self, session: Session) -> None:
        """Apply the window for the announced load value, and the pauses of queues."""
        self._open_deliveries = {id: d for id, d in self._open_deliveries.items() if d.tag in d.session.unsettled}
        now = self.clock.now()
        window = 0  # nothing can run until the executor is up
        if self.broker.started:
            window = consumption_window(self.broker.load_signal, self.broker.value, self.config.prefetch)
        session.set_window(window)
        is_accepting = self._accepts_work() and not self._leaving
        for index, resume_at in enumerate(self._resume_at):
            if window > 0 and is_accepting and now >= resume_at and self._may_consume(index):
                session.consume(index)
            else:
                session.pause(index)

    def _may_consume(self, index: int) -> bool:
        """Return whether a queue can be consumed: a delivery whose key is in doubt fails and is not delivered again."""
        if self._may_repeat(index):
            return True
        window_s = self.broker.classes[self.config.queues[index].cls].window
        return not self.broker.are_unknown_keys_in_doubt(max(window_s, self.config.redelivery_window))

    def _may_repeat(self, index: int) -> bool:
        """Return whether the requests of a queue may run again when they are delivered again."""
        return self.broker.classes[self.config.queues[index].cls].idempotency is Idempotency.IDEMPOTENT

    def leave(self) -> None:
        """Stop consuming."""
        self._leaving = True

    @property
    def settled(self) -> bool:
        """Whether no delivery is open and every acknowledgement has been sent.

        A delivery whose acknowledgement is not sent is delivered again, to a process that does not know its key."""
        unsent = self._link is not None and self._link.get_write_buffer_size() > 0
        return not unsent and not any(
            delivery.tag in delivery.session.unsettled for delivery in self._open_deliveries.values()
        )

    def describe(self) -> dict[str, object]:
        """Return the state of the consumer for an operator, including why a queue is not consumed."""
        now = self.clock.now()
        pauses = [f"{consumer_tag(index)}:{at - now:.1f}s" for index, at in enumerate(self._resume_at) if at > now]
        fields: dict[str, object] = {
            "link": "none" if self._session is None else self._session.state.name.lower(),
            "value": self.broker.value,
            "in_hand": len(self._open_deliveries),
            "paused": " ".join(pauses) or "none",
        }
        if self._session is not None:
            fields["window"] = self._session.window
            fields["consuming"] = " ".join(map(consumer_tag, sorted(self._session.consuming))) or "none"
            fields["unsettled"] = len(self._session.unsettled)
        return fields

    async def run(self) -> None:
        """Connect, and reconnect with backoff when the link is lost, until cancelled."""
        loop = asyncio.get_running_loop()
        delay, address = ReconnectDelay(self._random), self.config.address
        while True:
            try:
                reader, writer = await open_connection(address.host, address.port)
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
                # Bounds the memory held for an AMQP broker that does not read the acknowledgements.
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
        except Exception as error:  # noqa: BLE001  any fault of the handlers is counted and logged; the link reconnects
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
                    data = await reader.read(LINK_READ_BYTES)
                if not data:
                    raise ConnectionError("AMQP broker closed the connection")
                last_received_at = loop.time()
            except TimeoutError:
                if reader.exception() is not None:
                    # A TimeoutError of the socket itself; every further read would raise it again at once.
                    raise ConnectionError("connection timed out") from None
            session.received(data)
            now = loop.time()
            if session.state is not State.READY and now > opened_at + OPEN_TIMEOUT_S:
                raise ProtocolError("session did not open in time")
            if session.heartbeat:
                if now > last_received_at + 2 * session.heartbeat:
                    raise ProtocolError("no heartbeat from the broker")
                if now >= last_sent_at + session.heartbeat / 2:
                    last_sent_at = now
                    session.send(heartbeat.Heartbeat(), 0)
            self.update_consumption(session)
