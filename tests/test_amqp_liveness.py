"""Liveness of consumer, session and core without sockets: whatever is lost, every message is settled.

Time is the core's. Between any two frames the link may lose those in flight, and runs may hang."""

from __future__ import annotations

import random
from collections import deque
from typing import cast

import pytest

from chutepin.config import load_amqp
from chutepin.decision import simulator_protocol as wire
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, FrameParser, Session
from chutepin.net.amqp.consumer import CHECK_INTERVAL_S
from chutepin.testbench.standins.amqp_broker import LinkWriter, Message, StandinBroker

from .helper import ENV, ROOT, Core
from .test_amqp import ORDERS, SECRET, STATUS

SEEDS = range(120)
STEPS = 160
SETTLE_S = 30.0  # in which all messages must be settled once faults have stopped
RUN_S = 0.05  # duration of a run that does not hang


class Pipe:
    """One direction of a link: frames that were written and not yet received."""

    def __init__(self) -> None:
        self.frames: deque[bytes] = deque()
        self.is_closed = False

    def write(self, data: bytes) -> None:
        """Add bytes, unless the link is closed."""
        if not self.is_closed:
            self.frames.append(data)

    def abort(self) -> None:
        """Close the link and discard the frames in flight."""
        self.is_closed = True
        self.frames.clear()

    def is_closing(self) -> bool:
        """Return whether the link is closed."""
        return self.is_closed

    @property
    def transport(self) -> Pipe:
        """The transport, as a stream writer provides it."""
        return self


class World:
    """The state of one seed: a node's core and consumer, the broker, and the link between them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.core = Core()
        self.core.ports.done = []
        config = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
        self.consumer = Consumer(
            config, self.core.broker, self.core.hand.clock, self.core.counters, Log(self.core.hand.clock), seed
        )
        self.broker = StandinBroker(seed)
        self.messages: list[Message] = []
        self.hung_until = 0.0
        self.started: dict[str, float] = {}  # by run: when it was first seen
        self.open_link()

    def open_link(self) -> None:
        """Open a new link."""
        self.to_node, self.to_broker = Pipe(), Pipe()
        self.session = Session(self.consumer.config, self.to_broker.write, self.consumer.delivered, self.core.counters)
        self.parser = FrameParser()
        self.broker.begin(cast("LinkWriter", self.to_node))
        self.session.start()
        self.to_broker.frames.popleft()  # the protocol header

    def lose_link(self) -> None:
        """Lose the link with the frames in flight in both directions, and open the next one."""
        self.to_node.abort()
        self.to_broker.abort()
        self.consumer.lost(self.session)
        self.open_link()

    def pass_frames(self, count: int) -> None:
        """Let each side receive up to `count` frames of the other."""
        for _ in range(count):
            if self.to_node.frames:
                self.session.received(self.to_node.frames.popleft())
            if self.to_broker.frames:
                self.parser.feed(self.to_broker.frames.popleft())
                self.broker.receive(self.parser, cast("LinkWriter", self.to_node))
        if self.to_node.is_closed:  # the broker has closed the link
            self.lose_link()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock: runs end unless they hang, and the consumer updates its window."""
        now = self.core.hand.time
        for id in self.core.running():
            started_at = self.started.setdefault(id, now)
            if now >= max(self.hung_until, started_at + RUN_S):
                self.core.ports.done.append(("ended", id))
                self.core.end(id)
        self.core.pass_time(seconds)
        self.consumer.update_consumption(self.session)

    def step(self) -> None:
        """Perform one random step."""
        choice = self.random.random()
        if choice < 0.3:
            queue = self.random.choice([ORDERS, STATUS])
            number = len(self.messages)
            self.messages.append(self.broker.put(queue, b"message %d" % number, message_id=f"m{number}"))
        elif choice < 0.7:
            self.pass_frames(self.random.randint(1, 12))
        elif choice < 0.9:
            self.pass_time(self.random.uniform(0.0, 0.3))
        elif choice < 0.95:
            self.hung_until = self.core.hand.time + self.random.uniform(0.0, 8.0)
        else:
            self.lose_link()

    def settle(self) -> None:
        """Run without faults until every message is settled or SETTLE_S is over."""
        self.hung_until = 0.0
        deadline = self.core.hand.time + SETTLE_S
        while self.core.hand.time < deadline and not all(message.settled for message in self.messages):
            for _ in range(20):
                self.pass_frames(20)
                self.pass_time(CHECK_INTERVAL_S / 20)

    def report(self) -> str:
        """Return the state that explains a failure."""
        unsettled = [message for message in self.messages if not message.settled]
        return (
            f"{len(unsettled)} of {len(self.messages)} not settled; window {self.core.broker.value}, "
            f"consuming {sorted(self.session.consuming)}, node's open tags {sorted(self.session.unsettled)}, "
            f"broker's open tags {sorted(self.broker.out)}, state {self.session.state}, "
            f"counters {self.core.counters.as_line()}"
        )


# Guards against messages that are never settled, as a window stays closed or a queue is never consumed again.
@pytest.mark.parametrize("seed", SEEDS)
def test_every_message_is_settled_once_faults_stop(seed: int) -> None:
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    world.settle()
    assert all(message.settled for message in world.messages), world.report()
