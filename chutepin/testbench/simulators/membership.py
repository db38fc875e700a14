"""The pure detector in virtual time under a schedule of faults: one seed, one history, byte for byte.

The network is modelled link by link: delay, loss, duplication, cuts. A stopped member neither reads nor fires timers;
what comes for it waits in a buffer of bounded size. TCP is an exchange that works where both directions do."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from chutepin.cluster.detector import Answer, Detector, Effect, Send
from chutepin.cluster.frames import cluster_id, decode, encode, stream_frame
from chutepin.cluster.membership_view import MembershipEvent, PersistIncarnation
from chutepin.cluster.messages import BucketRecords, Gossip, Packet
from chutepin.cluster.records import Record, ShortRecord, Status, Update
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup
from chutepin.testbench.checks.history import History, Repair, Seen, Shown, Truth
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.scale.traffic import Direction, Kind, Span, TrafficMeter

BUFFER = 256  # datagrams that wait in a socket's buffer
TURN = 0.00005  # seconds that a member takes for a datagram
LENGTH = 4  # bytes of the length before a frame over TCP
MOST_PACKETS = 500  # a second of each member, on average over the whole schedule; then the run ends
EPOCH = 1_700_000_000_000  # where the system's clocks begin, in milliseconds

Make = Callable[[ClusterSetup, str, int, float, random.Random], Detector]


class _Host:
    """One member's machine."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.detector: Detector | None = None
        self.waiting: deque[Packet] = deque(maxlen=BUFFER)
        self.timer = 0  # the number of the timer that counts
        self.clock = 0.0  # seconds by which the system's clock is off
        self.persisted = 0


class Simulator:
    """One run."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        make: Make = Detector,
        *,
        wire: bool = False,
        show: float = 1.0,
        delay: float = 0.001,
        kept: bool = False,
        seeds: int = 3,
        known: bool = False,
        settings: dict[str, Any] | None = None,
        meter: TrafficMeter | None = None,
        linger: float = 0.0,
    ) -> None:
        """`wire`: every packet goes through its bytes. `show`: seconds between looks at what members show. `kept`: the
        incarnation survives in a store. `delay`: seconds of a link at the most. `known`: all know each other
        from the start, which spares the joining of many. `meter`: takes every byte, datagrams as well as exchanges over
        TCP, and the CPU time of each member; it changes nothing in the history. `linger`: seconds
        for which a member that leaves goes on."""
        self.schedule, self._make, self._wire, self._show, self._kept = schedule, make, wire, show, kept
        self._known, self._meter, self._linger = known, meter, linger
        self._rng = random.Random(seed)
        self._delay, self._seeds, self._settings = delay, seeds, settings or {}
        self.now = 0.0
        self.truth = Truth(schedule)
        self.history = History(schedule)
        self._cluster = cluster_id("fleet")
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = itertools.count()
        self.hosts = {name: _Host(name) for name in schedule.names()}
        self._by_address = {self._address(name): host for name, host in self.hosts.items()}
        self._told: Counter[tuple[str, Any]] = Counter()
        self.sent: Counter[str] = Counter()

    @staticmethod
    def _address(name: str) -> str:
        return f"10.0.0.{name[1:]}:7301"

    def _at(self, at: float, work: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._count), work, arguments))

    def run(self) -> History:
        """Play the schedule."""
        for number, name in enumerate(self.hosts):
            self._at(0.0 if self.schedule.together else 0.2 * number, self._start, name)
        for fault in self.schedule.faults:
            self._at(fault.at, self._fault, fault)
        at = self._show
        while at <= self.schedule.seconds:
            self._at(at, self._look)
            at += self._show
        still = 0
        if self._known:
            self._at(0.0, self._introduce)
        while self._events:
            at, _, work, arguments = heapq.heappop(self._events)
            if at > self.schedule.seconds:
                break
            still = still + 1 if at <= self.now else 0
            assert still < 100_000, "time stands still: a member asks to be woken at once for ever"
            self.now = at
            work(*arguments)
        self.history.repeats = max(self._told.values(), default=0)
        if self._meter is not None:
            span = Span(0, int(self.schedule.seconds))
            self.history.peak = max(self._meter.rates(self.hosts, span, Direction.SENT), default=0.0)
        return self.history

    def _start(self, name: str) -> None:
        host = self.hosts[name]
        seeds = tuple((seed, self._address(seed)) for seed in list(self.hosts)[: self._seeds])
        listen = Address(self._address(name).split(":")[0], 7301)
        setup = ClusterSetup(
            "fleet", self.schedule.region(name), self.schedule.zone(name), listen, seeds, **self._settings
        )
        incarnation = EPOCH + int(1000 * (self.now + host.clock))
        if self._kept:
            incarnation = max(incarnation, host.persisted + 1)
        host.detector = self._make(setup, name, incarnation, self.now, random.Random(self._rng.random()))
        host.waiting.clear()
        self._carry_out(host, None)

    def _introduce(self) -> None:
        """Tell all of all."""
        records = [host.detector.me for host in self.hosts.values() if host.detector is not None]
        for host in self.hosts.values():
            if host.detector is not None:
                host.detector.view.joined = True
                for record in records:
                    if record.name != host.name:
                        host.detector.view.table.put(self.now, record)

    def _fault(self, fault: Fault) -> None:
        self.truth.do(fault)
        self.history.done.append(fault)
        for name in fault.members if fault.what in ("crash", "leave", "restart", "wake", "clock") else ():
            host = self.hosts[name]
            if fault.what == "restart" and host.detector is None:
                self._start(name)
            elif fault.what == "clock":
                host.clock += fault.value
            elif fault.what == "wake" and host.detector is not None:
                self._woken(host)
            elif fault.what in ("crash", "leave") and host.detector is not None:
                if fault.what == "leave":
                    host.detector.leave(self.now)
                    self._carry_out(host, None)
                if fault.what == "leave" and self._linger:
                    self._at(self.now + self._linger, self._gone, host, host.detector)
                else:
                    host.detector = None

    def _gone(self, host: _Host, detector: Detector) -> None:
        """A process that was told to leave ends."""
        if host.detector is detector:
            host.detector = None

    def _woken(self, host: _Host) -> None:
        """What waited is read, then the timer fires, late."""
        while host.waiting and host.detector is not None:
            self._receive(host, host.waiting.popleft(), False)
        self._tick(host, host.timer)

    # --- members ---

    def _frozen(self, host: _Host) -> bool:
        return host.name in self.truth.stopped or (
            (share := self.truth.slow.get(host.name, 0.0)) > 0 and self.now % 1.0 < share
        )

    def _tick(self, host: _Host, timer: int) -> None:
        if host.detector is None or timer != host.timer:
            return
        if self._frozen(host):
            if host.name not in self.truth.stopped:
                self._at(self._thaws(host), self._woken, host)
            return
        began = self._cpu()
        host.detector.tick(self.now)
        self._spend(host, began)
        self._carry_out(host, None)

    def _cpu(self) -> int:
        """The CPU time so far, in nanoseconds, where it is asked for."""
        return time.process_time_ns() if self._meter is not None else 0

    def _spend(self, host: _Host, began: int) -> None:
        """A member has worked since then."""
        if self._meter is not None:
            self._meter.spend(host.name, self.now, time.process_time_ns() - began)

    def _thaws(self, host: _Host) -> float:
        return int(self.now) + self.truth.slow[host.name] + 1e-6

    def _receive(self, host: _Host, packet: Packet, stream: bool) -> Packet | None:
        """Give a packet to a member; the answer to one over TCP."""
        if host.detector is None:
            return None
        began = self._cpu()
        host.detector.receive(self.now, packet, stream)
        self._spend(host, began)
        return self._carry_out(host, packet if stream else None)

    def _carry_out(self, host: _Host, stream: Packet | None) -> Packet | None:
        detector = host.detector
        assert detector is not None
        answer = None
        began = self._cpu()
        effects, due = detector.drain_effects(), detector.wake_at()
        self._spend(host, began)
        for effect in effects:
            answer = self._effect(host, effect) or answer
        host.timer += 1
        self._at(max(self.now, due), self._tick, host, host.timer)
        return answer if stream is not None else None

    def _effect(self, host: _Host, effect: Effect) -> Packet | None:
        match effect:
            case Send():
                self._send(host, effect)
            case Answer():
                return effect.packet
            case PersistIncarnation():
                host.persisted = effect.incarnation
            case MembershipEvent():
                fields = effect.fields
                number = fields.get("incarnation", 0)
                self.history.seen.append(
                    Seen(
                        self.now,
                        host.name,
                        effect.kind,
                        effect.member,
                        str(fields.get("by", "")),
                        number if isinstance(number, int) else 0,
                    )
                )
        return None

    # --- the network ---

    def _send(self, host: _Host, send: Send) -> None:
        target = self._by_address.get(send.address)
        if target is None:
            return
        if send.stream:
            if self.truth.round_trip(host.name, target.name):
                at = self.now + self._way() * 3 + self.truth.loss * self._rng.random()
                self._at(at, self._exchange, host, target, send.packet)
            return
        self.history.packets += 1
        if self.history.packets > MOST_PACKETS * self.schedule.members * self.schedule.seconds:
            self._events.clear()  # the invariant of traffic says the rest
        self.sent[host.name] += 1
        for update in send.packet.updates:
            if self._is_news_of_life(update) and isinstance(send.packet.body, Gossip):
                self._told[host.name, update] += 1
        frame = self._datagram(host, send.packet)
        if (host.name, target.name) in self.truth.cuts:
            return
        for _ in range(1 + (self._rng.random() < self.truth.duplicate)):
            if self._rng.random() >= self.truth.loss:
                self._at(self.now + self._way(), self._arrive, target, self._through(send.packet), frame)

    @staticmethod
    def _is_news_of_life(update: Update) -> bool:
        return isinstance(update, (Record, ShortRecord)) and update.status is Status.ALIVE

    def _datagram(self, host: _Host, packet: Packet) -> bytes:
        """Count a datagram that a member sends; its bytes, where they are counted."""
        if self._meter is None:
            return b""
        began = self._cpu()
        frame = encode(packet, self._cluster)
        self._spend(host, began)
        self._meter.count(host.name, self.now, Direction.SENT, Kind.DATAGRAM, len(frame))
        return frame

    def _datagram_read(self, host: _Host, frame: bytes) -> None:
        """Count a datagram that a member reads, and the CPU time of unpacking it."""
        if self._meter is None:
            return
        self._meter.count(host.name, self.now, Direction.RECEIVED, Kind.DATAGRAM, len(frame))
        began = self._cpu()
        decode(frame, self._cluster, False)
        self._spend(host, began)

    def _stream(self, sender: _Host, receiver: _Host, packet: Packet) -> None:
        """Count one direction of an exchange over TCP, and the CPU time of packing and unpacking it."""
        if self._meter is None:
            return
        began = self._cpu()
        frame = stream_frame(packet, self._cluster)
        self._spend(sender, began)
        self._meter.carried(sender.name, receiver.name, self.now, Kind.STREAM, len(frame))
        began = self._cpu()
        decode(frame[LENGTH:], self._cluster, True)
        self._spend(receiver, began)

    def _way(self) -> float:
        return self._delay * (0.2 + 0.8 * self._rng.random()) + self.truth.delay * self._rng.random()

    def _through(self, packet: Packet) -> Packet:
        """The packet as it comes out of its bytes."""
        if not self._wire:
            return packet
        data = encode(packet, self._cluster)
        self.history.bytes += len(data)
        self.history.longest = max(self.history.longest, len(data))
        return decode(data, self._cluster, False)

    def _arrive(self, host: _Host, packet: Packet, frame: bytes) -> None:
        if host.detector is None:
            return
        self._datagram_read(host, frame)
        if self._frozen(host):
            host.waiting.append(packet)
        else:
            self._receive(host, packet, False)

    def _exchange(self, host: _Host, target: _Host, packet: Packet) -> None:
        """A request over TCP reaches its target, whose answer goes back."""
        if not self.truth.round_trip(host.name, target.name) or target.detector is None or self._frozen(target):
            return
        self._stream(host, target, packet)
        answer = self._receive(target, packet, True)
        if answer is not None:
            self._stream(target, host, answer)
            if isinstance(answer.body, BucketRecords):
                self.history.repairs.append(Repair(self.now, host.name, len(answer.updates)))
            self._at(self.now + self._way(), self._answered, host, answer)

    def _answered(self, host: _Host, answer: Packet) -> None:
        if host.detector is not None and not self._frozen(host):
            self._receive(host, answer, True)

    # --- what is seen ---

    def _look(self) -> None:
        for host in self.hosts.values():
            if host.detector is not None and not self._frozen(host):
                self.history.shown.append(shown(self.now, host.detector))


def shown(now: float, detector: Detector) -> Shown:
    """What a member shows."""
    view = detector.view
    records = [view.me, *(member.record for member in view.table.members.values())]
    live = {record.name for record in records if record.live}
    return Shown(
        now,
        view.me.name,
        tuple(sorted((r.name, r.status.name.lower(), r.incarnation) for r in records)),
        tuple(sorted(view.links.bad_links(live))),
    )
