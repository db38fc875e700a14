"""A simulator: the detector in virtual time under a schedule of faults. One seed gives one history, byte for byte.

The network is modelled link by link: delay, loss, duplication, cuts. A stopped member neither reads nor fires timers;
its datagrams wait in a buffer of bounded size. An exchange over TCP works where both directions do."""

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

BUFFER_DATAGRAMS = 256  # of a stopped member
LENGTH_BYTES = 4  # before a frame over TCP
MAX_PACKETS_PER_SECOND = 500  # of each member, on average; beyond that the run ends
EPOCH_MS = 1_700_000_000_000  # where the system's clocks begin

Make = Callable[[ClusterSetup, str, int, float, random.Random], Detector]


class _Host:
    """The machine of one member."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.detector: Detector | None = None
        self.waiting: deque[Packet] = deque(maxlen=BUFFER_DATAGRAMS)
        self.timer = 0  # the number of the timer that counts
        self.clock = 0.0  # seconds by which the system's clock is off
        self.persisted = 0


class WireMeter:
    """Counts the bytes and the CPU time of members in a `TrafficMeter`; without one it does nothing."""

    def __init__(self, meter: TrafficMeter | None, cluster: bytes) -> None:
        self._meter = meter
        self._cluster = cluster

    def cpu_ns(self) -> int:
        """Return the CPU time so far in nanoseconds, if it is counted."""
        return time.process_time_ns() if self._meter is not None else 0

    def spend(self, member: str, now: float, began: int) -> None:
        """Count the CPU time that a member has used since `began`."""
        if self._meter is not None:
            self._meter.spend(member, now, time.process_time_ns() - began)

    def datagram_sent(self, member: str, now: float, packet: Packet) -> bytes:
        """Count a datagram that a member sends, and return its frame; empty without a meter."""
        if self._meter is None:
            return b""
        began = self.cpu_ns()
        frame = encode(packet, self._cluster)
        self.spend(member, now, began)
        self._meter.count(member, now, Direction.SENT, Kind.DATAGRAM, len(frame))
        return frame

    def datagram_read(self, member: str, now: float, frame: bytes) -> None:
        """Count a datagram that a member reads, and the CPU time of decoding it."""
        if self._meter is None:
            return
        self._meter.count(member, now, Direction.RECEIVED, Kind.DATAGRAM, len(frame))
        began = self.cpu_ns()
        decode(frame, self._cluster, False)
        self.spend(member, now, began)

    def stream(self, sender: str, receiver: str, now: float, packet: Packet) -> None:
        """Count one direction of an exchange over TCP, and the CPU time of encoding and decoding it."""
        if self._meter is None:
            return
        began = self.cpu_ns()
        frame = stream_frame(packet, self._cluster)
        self.spend(sender, now, began)
        self._meter.carried(sender, receiver, now, Kind.STREAM, len(frame))
        began = self.cpu_ns()
        decode(frame[LENGTH_BYTES:], self._cluster, True)
        self.spend(receiver, now, began)


class Simulator:
    """One run of a schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        make: Make = Detector,
        *,
        wire: bool = False,
        show: float = 1.0,
        delay: float = 0.001,
        persistent: bool = False,
        seeds: int = 3,
        known: bool = False,
        settings: dict[str, Any] | None = None,
        meter: TrafficMeter | None = None,
        shutdown_s: float = 0.0,
    ) -> None:
        """`wire`: encode and decode every packet.

        `show`: seconds between observations of what members show. `persistent`: incarnations are stored. `delay`:
        seconds of a link at the most. `known`: all know each other from the start, which saves the joining of many.
        `meter`: counts the bytes of datagrams and exchanges and the CPU time of each member; it does not change the
        history. `shutdown_s`: for which a member that leaves goes on."""
        self.schedule = schedule
        self._make = make
        self._wire = wire
        self._show = show
        self._persistent = persistent
        self._known = known
        self._meter = meter
        self._shutdown_s = shutdown_s
        self._rng = random.Random(seed)
        self._delay = delay
        self._seeds = seeds
        self._settings = settings or {}
        self.now = 0.0
        self.truth = Truth(schedule)
        self.history = History(schedule)
        self._cluster = cluster_id("fleet")
        self._wire_meter = WireMeter(meter, self._cluster)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = itertools.count()
        self.hosts = {name: _Host(name) for name in schedule.names()}
        self._by_address = {self._address(name): host for name, host in self.hosts.items()}
        self._sent_updates: Counter[tuple[str, Any]] = Counter()
        self.sent: Counter[str] = Counter()

    @staticmethod
    def _address(name: str) -> str:
        return f"10.0.0.{name[1:]}:7301"

    def _at(self, at: float, work: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._count), work, arguments))

    def run(self) -> History:
        """Play the schedule and return the history."""
        for number, name in enumerate(self.hosts):
            self._at(0.0 if self.schedule.together else 0.2 * number, self._start, name)
        for fault in self.schedule.faults:
            self._at(fault.at, self._fault, fault)
        at = self._show
        while at <= self.schedule.seconds:
            self._at(at, self._observe)
            at += self._show
        still = 0
        if self._known:
            self._at(0.0, self._introduce)
        while self._events:
            at, _, work, arguments = heapq.heappop(self._events)
            if at > self.schedule.seconds:
                break
            still = still + 1 if at <= self.now else 0
            assert still < 100_000, "time stands still: a member asks to be woken again and again"
            self.now = at
            work(*arguments)
        self.history.repeats = max(self._sent_updates.values(), default=0)
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
        incarnation = EPOCH_MS + int(1000 * (self.now + host.clock))
        if self._persistent:
            incarnation = max(incarnation, host.persisted + 1)
        host.detector = self._make(setup, name, incarnation, self.now, random.Random(self._rng.random()))
        host.waiting.clear()
        self._carry_out(host, None)

    def _introduce(self) -> None:
        """Let all members know all others."""
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
                self._resume(host)
            elif fault.what in ("crash", "leave") and host.detector is not None:
                if fault.what == "leave":
                    host.detector.leave(self.now)
                    self._carry_out(host, None)
                if fault.what == "leave" and self._shutdown_s:
                    self._at(self.now + self._shutdown_s, self._terminate, host, host.detector)
                else:
                    host.detector = None

    def _terminate(self, host: _Host, detector: Detector) -> None:
        """End a process that has left."""
        if host.detector is detector:
            host.detector = None

    def _resume(self, host: _Host) -> None:
        """Resume a member: it reads what waited, then its timer fires, late."""
        while host.waiting and host.detector is not None:
            self._receive(host, host.waiting.popleft(), False)
        self._tick(host, host.timer)

    def _frozen(self, host: _Host) -> bool:
        return host.name in self.truth.stopped or (
            (share := self.truth.slow.get(host.name, 0.0)) > 0 and self.now % 1.0 < share
        )

    def _tick(self, host: _Host, timer: int) -> None:
        if host.detector is None or timer != host.timer:
            return
        if self._frozen(host):
            if host.name not in self.truth.stopped:
                self._at(self._thaws(host), self._resume, host)
            return
        began = self._wire_meter.cpu_ns()
        host.detector.tick(self.now)
        self._wire_meter.spend(host.name, self.now, began)
        self._carry_out(host, None)

    def _thaws(self, host: _Host) -> float:
        return int(self.now) + self.truth.slow[host.name] + 1e-6

    def _receive(self, host: _Host, packet: Packet, stream: bool) -> Packet | None:
        """Deliver a packet to a member; return the answer to one over TCP."""
        if host.detector is None:
            return None
        began = self._wire_meter.cpu_ns()
        host.detector.receive(self.now, packet, stream)
        self._wire_meter.spend(host.name, self.now, began)
        return self._carry_out(host, packet if stream else None)

    def _carry_out(self, host: _Host, stream: Packet | None) -> Packet | None:
        detector = host.detector
        assert detector is not None
        answer = None
        began = self._wire_meter.cpu_ns()
        effects, due = detector.drain_effects(), detector.wake_at()
        self._wire_meter.spend(host.name, self.now, began)
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

    def _send(self, host: _Host, send: Send) -> None:
        target = self._by_address.get(send.address)
        if target is None:
            return
        if send.stream:
            if self.truth.round_trip(host.name, target.name):
                at = self.now + self._transit_time() * 3 + self.truth.loss * self._rng.random()
                self._at(at, self._exchange, host, target, send.packet)
            return
        self.history.packets += 1
        if self.history.packets > MAX_PACKETS_PER_SECOND * self.schedule.members * self.schedule.seconds:
            self._events.clear()  # the run ends; the invariant of traffic reports it
        self.sent[host.name] += 1
        for update in send.packet.updates:
            if self._says_alive(update) and isinstance(send.packet.body, Gossip):
                self._sent_updates[host.name, update] += 1
        frame = self._wire_meter.datagram_sent(host.name, self.now, send.packet)
        if (host.name, target.name) in self.truth.cuts:
            return
        for _ in range(1 + (self._rng.random() < self.truth.duplicate)):
            if self._rng.random() >= self.truth.loss:
                self._at(self.now + self._transit_time(), self._arrive, target, self._through(send.packet), frame)

    @staticmethod
    def _says_alive(update: Update) -> bool:
        return isinstance(update, (Record, ShortRecord)) and update.status is Status.ALIVE

    def _transit_time(self) -> float:
        return self._delay * (0.2 + 0.8 * self._rng.random()) + self.truth.delay * self._rng.random()

    def _through(self, packet: Packet) -> Packet:
        """Return the packet after encoding and decoding."""
        if not self._wire:
            return packet
        data = encode(packet, self._cluster)
        self.history.bytes += len(data)
        self.history.longest = max(self.history.longest, len(data))
        return decode(data, self._cluster, False)

    def _arrive(self, host: _Host, packet: Packet, frame: bytes) -> None:
        if host.detector is None:
            return
        self._wire_meter.datagram_read(host.name, self.now, frame)
        if self._frozen(host):
            host.waiting.append(packet)
        else:
            self._receive(host, packet, False)

    def _exchange(self, host: _Host, target: _Host, packet: Packet) -> None:
        """Deliver a request over TCP and send the answer back."""
        if not self.truth.round_trip(host.name, target.name) or target.detector is None or self._frozen(target):
            return
        self._wire_meter.stream(host.name, target.name, self.now, packet)
        answer = self._receive(target, packet, True)
        if answer is not None:
            self._wire_meter.stream(target.name, host.name, self.now, answer)
            if isinstance(answer.body, BucketRecords):
                self.history.repairs.append(Repair(self.now, host.name, len(answer.updates)))
            self._at(self.now + self._transit_time(), self._answered, host, answer)

    def _answered(self, host: _Host, answer: Packet) -> None:
        if host.detector is not None and not self._frozen(host):
            self._receive(host, answer, True)

    def _observe(self) -> None:
        for host in self.hosts.values():
            if host.detector is not None and not self._frozen(host):
                self.history.shown.append(shown(self.now, host.detector))


def shown(now: float, detector: Detector) -> Shown:
    """Return what a member shows to operators."""
    view = detector.view
    records = [view.me, *(member.record for member in view.table.members.values())]
    live = {record.name for record in records if record.live}
    return Shown(
        now,
        view.me.name,
        tuple(sorted((r.name, r.status.name.lower(), r.incarnation) for r in records)),
        tuple(sorted(view.links.bad_links(live))),
    )
