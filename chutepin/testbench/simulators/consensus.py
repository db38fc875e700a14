"""Simulator of a consensus group in virtual time.

The production participant, journal and identity run on simulated disks and links.

Runs are deterministic: equal seeds give byte-identical histories. A crash discards the writes that the store has not
acknowledged, except for a random prefix of them. Each message has its own delay, so messages can be reordered, which
a real connection does not do."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from chutepin.consensus.codec import Hello, WireMessage, decode, encode
from chutepin.consensus.errors import RejectedError
from chutepin.consensus.identity import StoreAcknowledgement, StoreAnnouncement, StoreStatus, node_name
from chutepin.consensus.key_value import KeyValueMachine, pack_assignment
from chutepin.consensus.messages import Apply, Membership, Persist, ReadReady, Restore
from chutepin.consensus.outbox import Effect, RequestCompleted, Send
from chutepin.consensus.replicated_state import Outcome, OutcomeState
from chutepin.consensus.settings import RaftSettings
from chutepin.consensus.state import Role
from chutepin.testbench.checks.consensus_history import ClientRequest, ConsensusHistory, Observation
from chutepin.testbench.checks.history import Truth
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.simulators.consensus_hosts import PRODUCT_PARTS, Disk, Parts, SimulatedHost

SETTINGS = RaftSettings(
    election_timeout_s=1.0,
    heartbeat_interval_s=0.2,
    max_chunk_bytes=4096,
    max_in_flight_bytes=8192,
    max_log_bytes=32768,
    retained_bytes=3000,
)
SNAPSHOT_AFTER_BYTES = 2500  # committed bytes after which a participant takes a snapshot
WRITE_DURATION_S = (0.001, 0.006)
LINK_DELAY_S = (0.0003, 0.002)
REQUEST_TIMEOUT_S = 3.0
ANNOUNCE_INTERVAL_S = 0.3
KEY_COUNT = 4  # number of distinct keys that clients set and read


class Simulator:
    """One simulated run of a consensus group under a fault schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        voters: int = 3,
        parts: Parts = PRODUCT_PARTS,
        every: float = 0.15,
        changes: float = 0.0,
        wire: bool = False,
        settings: RaftSettings = SETTINGS,
        write: tuple[float, float] = WRITE_DURATION_S,
    ) -> None:
        """Initialize the simulator.

        `every`: mean seconds between client requests. `changes`: mean seconds between changes of the voter set (0:
        none). `wire`: encode and decode every message. `write`: range of the duration of a disk write in seconds."""
        self.schedule, self._parts, self._request_interval_s, self._change_interval_s, self._wire = (
            schedule,
            parts,
            every,
            changes,
            wire,
        )
        self._settings, self._write_duration_s = settings, write
        self._rng = random.Random(seed)
        self.now = 0.0
        self.truth = Truth(schedule)
        self.history = ConsensusHistory()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_numbers, self._value_numbers = itertools.count(), itertools.count()
        self.hosts = {name: SimulatedHost(name) for name in schedule.names()}
        self.voters = tuple(schedule.names()[:voters])
        self.messages = self.writes = 0

    def _schedule_event(self, at: float, callback: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), callback, arguments))

    def run(self) -> ConsensusHistory:
        """Run the schedule with client requests and return the history."""
        for host in self.hosts.values():
            self._start(host)
        for fault in self.schedule.faults:
            self._schedule_event(fault.at, self._inject_fault, fault)
        self._schedule_event(1.0, self._issue_request)
        if self._change_interval_s:
            self._schedule_event(5.0, self._change_membership)
        last = max((fault.at for fault in self.schedule.faults), default=0.0)
        self.history.settled_at = max(last, 5.0) + 10.0
        events_without_progress = 0
        while self._events:
            at, _, callback, arguments = heapq.heappop(self._events)
            if at > self.schedule.seconds:
                break
            events_without_progress = events_without_progress + 1 if at <= self.now else 0
            assert events_without_progress < 20_000, "virtual time does not advance"
            self.now = max(self.now, at)
            callback(*arguments)
        return self.history

    def _start(self, host: SimulatedHost) -> None:
        host.incarnation += 1
        host.pending_effects, host.is_writing, host.participant, host.buffered_messages, host.tickets = (
            [],
            False,
            None,
            [],
            {},
        )
        store_id = f"{self._rng.getrandbits(32):08x}"
        stored = host.disk.get(b"who")
        if stored is not None:
            store_id, status = stored.decode().split()
        known_stores = dict(part.split("=") for part in (host.disk.get(b"met") or b"").decode().split())
        host.identity = self._parts.identity(
            host.name, self.voters, store_id, StoreStatus(status) if stored else None, known_stores
        )
        self._write_identity(host)
        self._announce(host, host.incarnation)

    def _write_identity(self, host: SimulatedHost) -> None:
        """Write the identity to the disk and sync it immediately."""
        assert host.identity is not None
        identity = host.identity
        host.disk.write(
            [
                (b"who", f"{identity.store_id} {identity.status.value}".encode()),
                (b"met", " ".join(f"{name}={store_id}" for name, store_id in identity.known_stores.items()).encode()),
            ]
        )
        host.disk.sync(len(host.disk.pending))

    def _announce(self, host: SimulatedHost, incarnation: int) -> None:
        if host.incarnation != incarnation or host.name not in self.truth.up or host.participant is not None:
            return
        assert host.identity is not None
        if host.identity.status is not StoreStatus.FORMING:
            self._join(host)
            return
        for name in host.identity.awaited:
            self._send(host, name, StoreAnnouncement(host.name, host.identity.store_id))
        self._schedule_event(self.now + ANNOUNCE_INTERVAL_S, self._announce, host, incarnation)

    def _join(self, host: SimulatedHost) -> None:
        assert host.identity is not None
        host.journal = self._parts.journal()
        saved, leftovers = host.journal.load(host.disk.get)
        host.disk.write(leftovers)
        host.disk.sync(len(leftovers))
        host.machine = KeyValueMachine()
        host.participant = self._parts.participant(
            host.identity.identity,
            Membership(self.voters),
            saved,
            host.machine,
            self.now,
            random.Random(self._rng.random()),
            self._settings,
            self._parts.raft,
        )
        self._process_effects(host)

    def _inject_fault(self, fault: Fault) -> None:
        self.truth.apply(fault)
        self.history.disturbances.append(self.now)
        for name in fault.members if fault.what in ("crash", "leave", "restart", "wake", "wipe") else ():
            host = self.hosts[name]
            if fault.what in ("crash", "leave", "wipe"):
                host.incarnation += 1
                host.disk.crash(self._rng)
                host.participant = None
                if fault.what == "wipe":
                    host.disk = Disk()
            elif fault.what == "restart" and host.participant is None:
                self._start(host)
            elif fault.what == "wake":
                messages, host.buffered_messages = host.buffered_messages, []
                for sender, message in messages:
                    self._receive(host, sender, message)
                self._tick(host, host.timer)

    def _is_frozen(self, host: SimulatedHost) -> bool:
        return host.name in self.truth.stopped or (
            (frozen_share := self.truth.slow.get(host.name, 0.0)) > 0 and self.now % 1.0 < frozen_share
        )

    def _process_effects(self, host: SimulatedHost) -> None:
        participant = host.participant
        if participant is None or host.is_writing:
            return
        while True:
            if participant.raft.log.bytes_since_snapshot > SNAPSHOT_AFTER_BYTES:
                participant.compact(self.now)
            host.pending_effects += participant.drain_effects()
            if not host.pending_effects:
                break
            pending_effects, host.pending_effects = host.pending_effects, []
            operations = [
                part for effect in pending_effects if isinstance(effect, Persist) for part in host.journal.write(effect)
            ]
            if operations:
                self.writes += 1
                host.is_writing = True
                host.disk.write(operations)
                if self._parts.acknowledges_early:
                    self._carry_out(host, pending_effects)
                    pending_effects = []
                completed_at = self.now + self._rng.uniform(*self._write_duration_s)
                self._schedule_event(
                    completed_at, self._on_write_completed, host, host.incarnation, len(operations), pending_effects
                )
                break
            self._carry_out(host, pending_effects)
        self._schedule_tick(host)

    def _schedule_tick(self, host: SimulatedHost) -> None:
        assert host.participant is not None
        host.timer += 1
        self._schedule_event(max(self.now + 0.0005, host.participant.next_deadline()), self._tick, host, host.timer)

    def _on_write_completed(
        self, host: SimulatedHost, incarnation: int, count: int, pending_effects: list[Effect]
    ) -> None:
        if host.incarnation != incarnation:
            return
        host.disk.sync(count)
        if self._is_frozen(host):  # the write is durable; the frozen process handles its completion later
            self._schedule_event(self.now + 0.05, self._on_write_completed, host, incarnation, 0, pending_effects)
            return
        host.is_writing = False
        self._carry_out(host, pending_effects)
        self._process_effects(host)

    def _carry_out(self, host: SimulatedHost, pending_effects: list[Effect]) -> None:
        participant = host.participant
        assert participant is not None
        for effect in pending_effects:
            match effect:
                case Send():
                    self._send(host, effect.to, effect.message)
                case Apply() | Restore() | ReadReady():
                    participant.carry_out(self.now, effect)
                    self._observe(host)
                case RequestCompleted():
                    if (complete := host.tickets.pop(effect.ticket, None)) is not None:
                        complete(effect.outcome)
                case _:
                    pass
        self._observe(host)

    def _observe(self, host: SimulatedHost) -> None:
        participant = host.participant
        assert participant is not None
        role = participant.raft.role.name.lower() if participant.receives_log else "observer"
        observation = Observation(
            self.now,
            host.name,
            host.incarnation,
            role,
            participant.raft.term,
            participant.state.applied_index,
            participant.state.log_digest.hex(),
        )
        last = self.history.observations[-1] if self.history.observations else None
        if last is None or replace(observation, at=0.0) != replace(last, at=0.0):
            self.history.observations.append(observation)

    def _tick(self, host: SimulatedHost, timer: int) -> None:
        if host.participant is None or timer != host.timer:
            return
        if self._is_frozen(host):
            if host.name not in self.truth.stopped:
                self._schedule_event(int(self.now) + self.truth.slow[host.name] + 0.001, self._tick, host, timer)
            return
        participant = host.participant
        participant.set_alive(tuple(sorted(self.truth.up)))
        participant.tick(self.now)
        self._process_effects(host)
        if host.is_writing:
            self._schedule_tick(host)

    def _send(self, host: SimulatedHost, to: str, message: WireMessage) -> None:
        assert host.identity is not None
        self.messages += 1
        target = self.hosts[node_name(to)]
        if (host.name, target.name) in self.truth.cuts:
            return
        if self._wire:
            message = decode(encode(message)[8:])
        for _ in range(1 + (self._rng.random() < self.truth.duplicate)):
            if self._rng.random() >= self.truth.loss:
                delay = self._rng.uniform(*LINK_DELAY_S) + self.truth.delay * self._rng.random()
                self._schedule_event(self.now + delay, self._deliver, target, host.identity.identity, message)

    def _deliver(self, host: SimulatedHost, sender: str, message: WireMessage) -> None:
        if host.name not in self.truth.up:
            return
        if self._is_frozen(host):
            if len(host.buffered_messages) < 256:
                host.buffered_messages.append((sender, message))
            if host.name not in self.truth.stopped:
                self._schedule_event(int(self.now) + self.truth.slow[host.name] + 0.001, self._on_thaw, host)
            return
        self._receive(host, sender, message)

    def _on_thaw(self, host: SimulatedHost) -> None:
        messages, host.buffered_messages = host.buffered_messages, []
        for sender, message in messages:
            self._deliver(host, sender, message)

    def _receive(self, host: SimulatedHost, sender: str, message: WireMessage) -> None:
        if isinstance(message, StoreAnnouncement | StoreAcknowledgement):
            self._receive_identity(host, sender, message)
        elif host.participant is not None and not isinstance(message, Hello):
            host.participant.directory.record(sender, 1)
            host.participant.receive(self.now, sender, message)
            self._process_effects(host)

    def _receive_identity(
        self, host: SimulatedHost, sender: str, message: StoreAnnouncement | StoreAcknowledgement
    ) -> None:
        identity = host.identity
        assert identity is not None
        if isinstance(message, StoreAcknowledgement):
            if identity.receive_acknowledgement(node_name(sender), message):
                self._write_identity(host)
                self._announce(host, host.incarnation)
        elif (answer := identity.acknowledge(node_name(sender), message)) is not None:
            self._write_identity(host)
            self._send(host, sender, answer)

    def _issue_request(self) -> None:
        self._schedule_event(self.now + self._request_interval_s * 2 * self._rng.random(), self._issue_request)
        if self.truth.loss or self.truth.slow or self.truth.delay:
            self.history.disturbances.append(self.now)
        name = self._rng.choice(list(self.hosts))
        if self.now <= self.schedule.seconds - REQUEST_TIMEOUT_S - 1.0:
            self._issue_request_to(self.hosts[name], self._rng.choice(("set", "set", "get")))

    def _issue_request_to(self, host: SimulatedHost, operation: str) -> None:
        participant = host.participant
        if participant is None or self._is_frozen(host):
            return
        name = f"k{self._rng.randrange(KEY_COUNT)}"
        request = ClientRequest(
            operation, host.name, name, f"v{next(self._value_numbers)}" if operation == "set" else "", self.now
        )
        self.history.requests.append(request)
        if operation == "get":
            host.tickets[participant.read(self.now, self.now + REQUEST_TIMEOUT_S)] = lambda outcome: (
                self._read_completed(host, request, outcome)
            )
        else:
            id = participant.new_proposal_id()
            data = pack_assignment(name, request.value.encode())
            ticket = participant.propose(self.now, id, data, self.now + REQUEST_TIMEOUT_S)
            host.tickets[ticket] = lambda outcome: self._proposal_completed(host, request, id, data, outcome)
        self._process_effects(host)

    def _read_completed(self, host: SimulatedHost, request: ClientRequest, outcome: Outcome) -> None:
        if outcome.state is OutcomeState.COMMITTED and host.participant is not None:
            stored = host.machine.values.get(request.key)
            request.up_to_index = host.participant.state.applied_index  # may be newer than the index of the read
            if stored is not None:
                request.value, request.at_index, request.times_set = (
                    stored.value.decode(),
                    stored.at_index,
                    stored.times_set,
                )
        request.ended, request.outcome = self.now, outcome.state.name.lower()

    def _proposal_completed(
        self, host: SimulatedHost, request: ClientRequest, id: bytes, data: bytes, outcome: Outcome
    ) -> None:
        """Record the outcome; on an unknown outcome the client retries, in half of the cases at a random node."""
        if outcome.state is OutcomeState.UNKNOWN and request.began < self.schedule.seconds - 4 * REQUEST_TIMEOUT_S:
            retry_host = host if self._rng.random() < 0.5 else self._rng.choice(list(self.hosts.values()))
            self._schedule_event(self.now + 0.5 * self._rng.random(), self._retry, retry_host, request, id, data)
            return
        request.ended, request.outcome, request.at_index = self.now, outcome.state.name.lower(), outcome.at_index

    def _retry(self, host: SimulatedHost, request: ClientRequest, id: bytes, data: bytes) -> None:
        participant = host.participant
        if participant is None or self._is_frozen(host):
            self._schedule_event(
                self.now + 1.0, self._retry, self._rng.choice(list(self.hosts.values())), request, id, data
            )
            return
        void = self._rng.random() < 0.3
        ticket = participant.propose(
            self.now, id, b"" if void else data, self.now + REQUEST_TIMEOUT_S, repeated=True, void=void
        )
        host.tickets[ticket] = lambda outcome: self._proposal_completed(host, request, id, data, outcome)
        self._process_effects(host)

    def _change_membership(self) -> None:
        """Add or remove a voter, as an operator would."""
        if self.now > self.history.settled_at - 5.0:
            return  # the group must settle: a leadership transfer, too, rejects proposals for a moment
        self._schedule_event(self.now + self._change_interval_s * (0.5 + self._rng.random()), self._change_membership)
        for host in self.hosts.values():
            participant = host.participant
            if participant is None or participant.raft.role is not Role.LEADER or self._is_frozen(host):
                continue
            members = participant.raft.membership
            identities = [node.identity for node in participant.directory.known.values()]
            non_members = [identity for identity in identities if identity not in members.all_members]
            if members.learners:
                new_membership = Membership((*members.voters, members.learners[0]), members.learners[1:])
            elif len(members.voters) > 3 or not non_members:
                removed = self._rng.choice(members.voters)
                new_membership = Membership(tuple(name for name in members.voters if name != removed), members.learners)
            else:
                new_membership = Membership(members.voters, (self._rng.choice(non_members),))
            if len(new_membership.voters) < 3:
                continue
            try:
                # A leader transfers its leadership before it is removed.
                if participant.name not in new_membership.voters:
                    participant.transfer_leadership(self.now, next(iter(participant.raft.voters_by_lag())))
                else:
                    participant.change_membership(self.now, new_membership)
            except RejectedError:
                continue
            self.history.disturbances.append(self.now)
            self._process_effects(host)
