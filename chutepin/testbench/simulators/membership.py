"""Simulator of the failure detector in virtual time under a fault schedule.

Runs are deterministic: equal seeds give byte-identical histories. The network model has delay, loss, duplication and
cuts for each link. A stopped member neither reads datagrams nor fires timers; its datagrams wait in a bounded buffer.
A TCP exchange succeeds only if the link works in both directions."""

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

BUFFER_DATAGRAMS = 256  # receive buffer of a stopped member
LENGTH_BYTES = 4  # length prefix of a TCP frame
MAX_PACKETS_PER_SECOND = 500  # mean per member; the run ends when it is exceeded
EPOCH_MS = 1_700_000_000_000  # Unix time of the hosts' system clocks at virtual time 0

DetectorFactory = Callable[[ClusterSetup, str, int, float, random.Random], Detector]


class _Host:
    """The simulated machine of one member."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.detector: Detector | None = None
        self.buffered_packets: deque[Packet] = deque(maxlen=BUFFER_DATAGRAMS)
        self.timer = 0  # number of the latest timer; older timers are ignored
        self.clock_offset_s = 0.0  # offset of the system clock
        self.stored_incarnation = 0


class WireMeter:
    """Recorder of the members' bytes and CPU time in a `TrafficMeter`; without a meter all methods do nothing."""

    def __init__(self, meter: TrafficMeter | None, cluster: bytes) -> None:
        self._meter = meter
        self._cluster = cluster

    def cpu_ns(self) -> int:
        """Return the CPU time of this process in nanoseconds, or 0 without a meter."""
        return time.process_time_ns() if self._meter is not None else 0

    def count_cpu(self, member: str, now: float, began: int) -> None:
        """Record the CPU time used by a member since `began`."""
        if self._meter is not None:
            self._meter.count_cpu(member, now, time.process_time_ns() - began)

    def datagram_sent(self, member: str, now: float, packet: Packet) -> bytes:
        """Record a datagram sent by a member and return its frame; empty without a meter."""
        if self._meter is None:
            return b""
        began = self.cpu_ns()
        frame = encode(packet, self._cluster)
        self.count_cpu(member, now, began)
        self._meter.count(member, now, Direction.SENT, Kind.DATAGRAM, len(frame))
        return frame

    def datagram_read(self, member: str, now: float, frame: bytes) -> None:
        """Record a datagram read by a member and the CPU time of decoding it."""
        if self._meter is None:
            return
        self._meter.count(member, now, Direction.RECEIVED, Kind.DATAGRAM, len(frame))
        began = self.cpu_ns()
        decode(frame, self._cluster, False)
        self.count_cpu(member, now, began)

    def stream(self, sender: str, receiver: str, now: float, packet: Packet) -> None:
        """Record one direction of a TCP exchange and the CPU time of encoding and decoding its frame."""
        if self._meter is None:
            return
        began = self.cpu_ns()
        frame = stream_frame(packet, self._cluster)
        self.count_cpu(sender, now, began)
        self._meter.count_transfer(sender, receiver, now, Kind.STREAM, len(frame))
        began = self.cpu_ns()
        decode(frame[LENGTH_BYTES:], self._cluster, True)
        self.count_cpu(receiver, now, began)


class Simulator:
    """One simulated run of a cluster under a fault schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        make: DetectorFactory = Detector,
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
        """Initialize the simulator.

        `wire`: encode and decode every packet. `show`: seconds between recorded views. `delay`: maximum link delay in
        seconds. `persistent`: hosts store incarnations. `known`: every view holds all members from the start, which
        saves the join phase of a large cluster. `meter`: counts the bytes of datagrams and exchanges and the CPU time
        of each member, without an effect on the history. `shutdown_s`: seconds that a member runs after leaving."""
        self.schedule = schedule
        self._make = make
        self._wire = wire
        self._view_interval_s = show
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
        self._event_numbers = itertools.count()
        self.hosts = {name: _Host(name) for name in schedule.names()}
        self._by_address = {self._address(name): host for name, host in self.hosts.items()}
        self._sent_updates: Counter[tuple[str, Any]] = Counter()
        self.sent: Counter[str] = Counter()

    @staticmethod
    def _address(name: str) -> str:
        return f"10.0.0.{name[1:]}:7301"

    def _schedule_event(self, at: float, callback: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), callback, arguments))

    def run(self) -> History:
        """Run the schedule and return the history."""
        for number, name in enumerate(self.hosts):
            self._schedule_event(0.0 if self.schedule.together else 0.2 * number, self._start, name)
        for fault in self.schedule.faults:
            self._schedule_event(fault.at, self._inject_fault, fault)
        at = self._view_interval_s
        while at <= self.schedule.seconds:
            self._schedule_event(at, self._observe)
            at += self._view_interval_s
        events_without_progress = 0
        if self._known:
            self._schedule_event(0.0, self._introduce)
        while self._events:
            at, _, callback, arguments = heapq.heappop(self._events)
            if at > self.schedule.seconds:
                break
            events_without_progress = events_without_progress + 1 if at <= self.now else 0
            assert events_without_progress < 100_000, "virtual time does not advance: a timer is always due"
            self.now = at
            callback(*arguments)
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
        incarnation = EPOCH_MS + int(1000 * (self.now + host.clock_offset_s))
        if self._persistent:
            incarnation = max(incarnation, host.stored_incarnation + 1)
        host.detector = self._make(setup, name, incarnation, self.now, random.Random(self._rng.random()))
        host.buffered_packets.clear()
        self._carry_out(host, None)

    def _introduce(self) -> None:
        """Fill the view of every member with all other members."""
        records = [host.detector.me for host in self.hosts.values() if host.detector is not None]
        for host in self.hosts.values():
            if host.detector is not None:
                host.detector.view.joined = True
                for record in records:
                    if record.name != host.name:
                        host.detector.view.table.put(self.now, record)

    def _inject_fault(self, fault: Fault) -> None:
        self.truth.apply(fault)
        self.history.done.append(fault)
        for name in fault.members if fault.what in ("crash", "leave", "restart", "wake", "clock") else ():
            host = self.hosts[name]
            if fault.what == "restart" and host.detector is None:
                self._start(name)
            elif fault.what == "clock":
                host.clock_offset_s += fault.value
            elif fault.what == "wake" and host.detector is not None:
                self._resume(host)
            elif fault.what in ("crash", "leave") and host.detector is not None:
                if fault.what == "leave":
                    host.detector.leave(self.now)
                    self._carry_out(host, None)
                if fault.what == "leave" and self._shutdown_s:
                    self._schedule_event(self.now + self._shutdown_s, self._terminate, host, host.detector)
                else:
                    host.detector = None

    def _terminate(self, host: _Host, detector: Detector) -> None:
        """End the process of a member after its leave."""
        if host.detector is detector:
            host.detector = None

    def _resume(self, host: _Host) -> None:
        """Resume a member: deliver the buffered datagrams, then fire its overdue timer."""
        while host.buffered_packets and host.detector is not None:
            self._receive(host, host.buffered_packets.popleft(), False)
        self._tick(host, host.timer)

    def _is_frozen(self, host: _Host) -> bool:
        return host.name in self.truth.stopped or (
            (share := self.truth.slow.get(host.name, 0.0)) > 0 and self.now % 1.0 < share
        )

    def _tick(self, host: _Host, timer: int) -> None:
        if host.detector is None or timer != host.timer:
            return
        if self._is_frozen(host):
            if host.name not in self.truth.stopped:
                self._schedule_event(self._thaw_time(host), self._resume, host)
            return
        began = self._wire_meter.cpu_ns()
        host.detector.tick(self.now)
        self._wire_meter.count_cpu(host.name, self.now, began)
        self._carry_out(host, None)

    def _thaw_time(self, host: _Host) -> float:
        return int(self.now) + self.truth.slow[host.name] + 1e-6

    def _receive(self, host: _Host, packet: Packet, stream: bool) -> Packet | None:
        """Deliver a packet to a member; return the answer if the packet arrived over TCP."""
        if host.detector is None:
            return None
        began = self._wire_meter.cpu_ns()
        host.detector.receive(self.now, packet, stream)
        self._wire_meter.count_cpu(host.name, self.now, began)
        return self._carry_out(host, packet if stream else None)

    def _carry_out(self, host: _Host, stream: Packet | None) -> Packet | None:
        detector = host.detector
        assert detector is not None
        answer = None
        began = self._wire_meter.cpu_ns()
        effects, due = detector.drain_effects(), detector.wake_at()
        self._wire_meter.count_cpu(host.name, self.now, began)
        for effect in effects:
            answer = self._carry_out_effect(host, effect) or answer
        host.timer += 1
        self._schedule_event(max(self.now, due), self._tick, host, host.timer)
        return answer if stream is not None else None

    def _carry_out_effect(self, host: _Host, effect: Effect) -> Packet | None:
        match effect:
            case Send():
                self._send(host, effect)
            case Answer():
                return effect.packet
            case PersistIncarnation():
                host.stored_incarnation = effect.incarnation
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
                self._schedule_event(at, self._exchange, host, target, send.packet)
            return
        self.history.packets += 1
        if self.history.packets > MAX_PACKETS_PER_SECOND * self.schedule.members * self.schedule.seconds:
            self._events.clear()  # ends the run; the invariant traffic_is_bounded reports the excess
        self.sent[host.name] += 1
        for update in send.packet.updates:
            if self._is_alive_update(update) and isinstance(send.packet.body, Gossip):
                self._sent_updates[host.name, update] += 1
        frame = self._wire_meter.datagram_sent(host.name, self.now, send.packet)
        if (host.name, target.name) in self.truth.cuts:
            return
        for _ in range(1 + (self._rng.random() < self.truth.duplicate)):
            if self._rng.random() >= self.truth.loss:
                self._schedule_event(
                    self.now + self._transit_time(), self._deliver, target, self._through_wire(send.packet), frame
                )

    @staticmethod
    def _is_alive_update(update: Update) -> bool:
        return isinstance(update, (Record, ShortRecord)) and update.status is Status.ALIVE

    def _transit_time(self) -> float:
        return self._delay * (0.2 + 0.8 * self._rng.random()) + self.truth.delay * self._rng.random()

    def _through_wire(self, packet: Packet) -> Packet:
        """Return the packet, encoded and decoded if `wire` is set."""
        if not self._wire:
            return packet
        data = encode(packet, self._cluster)
        self.history.bytes += len(data)
        self.history.longest = max(self.history.longest, len(data))
        return decode(data, self._cluster, False)

    def _deliver(self, host: _Host, packet: Packet, frame: bytes) -> None:
        if host.detector is None:
            return
        self._wire_meter.datagram_read(host.name, self.now, frame)
        if self._is_frozen(host):
            host.buffered_packets.append(packet)
        else:
            self._receive(host, packet, False)

    def _exchange(self, host: _Host, target: _Host, packet: Packet) -> None:
        """Deliver a TCP request and schedule the delivery of its answer."""
        if not self.truth.round_trip(host.name, target.name) or target.detector is None or self._is_frozen(target):
            return
        self._wire_meter.stream(host.name, target.name, self.now, packet)
        answer = self._receive(target, packet, True)
        if answer is not None:
            self._wire_meter.stream(target.name, host.name, self.now, answer)
            if isinstance(answer.body, BucketRecords):
                self.history.repairs.append(Repair(self.now, host.name, len(answer.updates)))
            self._schedule_event(self.now + self._transit_time(), self._deliver_answer, host, answer)

    def _deliver_answer(self, host: _Host, answer: Packet) -> None:
        if host.detector is not None and not self._is_frozen(host):
            self._receive(host, answer, True)

    def _observe(self) -> None:
        for host in self.hosts.values():
            if host.detector is not None and not self._is_frozen(host):
                self.history.shown.append(shown(self.now, host.detector))


def shown(now: float, detector: Detector) -> Shown:
    """Return the view that a member shows to operators."""
    view = detector.view
    records = [view.me, *(member.record for member in view.table.members.values())]
    live = {record.name for record in records if record.live}
    return Shown(
        now,
        view.me.name,
        tuple(sorted((r.name, r.status.name.lower(), r.incarnation) for r in records)),
        tuple(sorted(view.links.bad_links(live))),
    )
