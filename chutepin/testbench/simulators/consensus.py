"""The log in common in virtual time: the node's own text (member, journal, identity) on modelled disks and links.

One seed gives one record, byte for byte. A crash loses what the store had not acknowledged, but for a beginning of it
that is drawn. Words take their own time each, so they overtake each other, which a connection's do not."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from chutepin.consensus.codec import Hello, WireMessage, decode, encode
from chutepin.consensus.errors import RejectedError
from chutepin.consensus.identity import Identity, StoreAcknowledgement, StoreAnnouncement, StoreStatus, node_name
from chutepin.consensus.journal import Journal, Operation
from chutepin.consensus.key_value import KeyValueMachine, pack_assignment
from chutepin.consensus.messages import Apply, Membership, Persist, ReadReady, Restore
from chutepin.consensus.outbox import Effect, RequestCompleted, Send
from chutepin.consensus.participant import Participant
from chutepin.consensus.raft import RaftNode
from chutepin.consensus.replicated_state import Outcome, OutcomeState
from chutepin.consensus.settings import RaftSettings
from chutepin.consensus.state import Role
from chutepin.testbench.checks.consensus_invariants import Asked, Record, Showed
from chutepin.testbench.checks.history import Truth
from chutepin.testbench.faults.schedule import Fault, Schedule

SETTINGS = RaftSettings(
    election_timeout_s=1.0,
    heartbeat_interval_s=0.2,
    max_chunk_bytes=4096,
    max_in_flight_bytes=8192,
    max_log_bytes=32768,
    retained_bytes=3000,
)
LOG = 2500  # bytes after which the state is kept
WRITE = (0.001, 0.006)  # seconds that a write takes
WAY = (0.0003, 0.002)  # seconds on a link
BY = 3.0  # seconds in which an asker wants an answer
MEET = 0.3
NAMES = 4  # that are set and read


class Disk:
    """What the store promises: what was acknowledged stays, of the rest a beginning may."""

    def __init__(self) -> None:
        self.durable: dict[bytes, bytes] = {}
        self.pending: list[Operation] = []

    def get(self, key: bytes) -> bytes | None:
        """What is durable."""
        return self.durable.get(key)

    def lay(self, operations: list[Operation]) -> None:
        """Begin to write."""
        self.pending += operations

    def sync(self, count: int) -> None:
        """So many of the pending are durable."""
        for key, value in self.pending[:count]:
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value
        del self.pending[:count]

    def crash(self, rng: random.Random) -> None:
        """The process ends, or the power does."""
        self.sync(rng.randint(0, len(self.pending)))
        self.pending.clear()


class _Host:
    """One machine."""

    def __init__(self, name: str) -> None:
        self.name, self.disk = name, Disk()
        self.participant: Participant | None = None
        self.identity: Identity | None = None
        self.journal = Journal()
        self.machine = KeyValueMachine()
        self.queue: list[Effect] = []
        self.busy = False
        self.life = 0
        self.timer = 0
        self.waiting: list[tuple[str, WireMessage]] = []  # words that came while it was stopped
        self.tickets: dict[int, Callable[[Outcome], None]] = {}


@dataclass(frozen=True, slots=True)
class Parts:
    """What a run is made of; a planted error takes one's place."""

    raft: type[RaftNode] = RaftNode
    participant: type[Participant] = Participant
    journal: type[Journal] = Journal
    identity: type[Identity] = Identity
    acknowledges_early: bool = False  # what stands behind a write is done before it is durable


class Simulator:
    """One run."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        voters: int = 3,
        parts: Parts = Parts(),
        every: float = 0.15,
        changes: float = 0.0,
        wire: bool = False,
        settings: RaftSettings = SETTINGS,
        write: tuple[float, float] = WRITE,
    ) -> None:
        """`every`: seconds between asks, on average; `changes`: between changes of voters (0: none). `wire`: words go
        through their bytes."""
        self.schedule, self._parts, self._every, self._changes, self._wire = schedule, parts, every, changes, wire
        self._settings, self._write = settings, write
        self._rng = random.Random(seed)
        self.now = 0.0
        self.truth = Truth(schedule)
        self.record = Record()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count, self._values = itertools.count(), itertools.count()
        self.hosts = {name: _Host(name) for name in schedule.names()}
        self.voters = tuple(schedule.names()[:voters])
        self.words = self.writes = 0

    def _at(self, at: float, work: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._count), work, arguments))

    def run(self) -> Record:
        """Play the schedule, ask meanwhile, and ask everybody in the end."""
        for host in self.hosts.values():
            self._start(host)
        for fault in self.schedule.faults:
            self._at(fault.at, self._fault, fault)
        self._at(1.0, self._ask_some)
        if self._changes:
            self._at(5.0, self._change_some)
        last = max((fault.at for fault in self.schedule.faults), default=0.0)
        self.record.settled = max(last, 5.0) + 10.0
        still = 0
        while self._events:
            at, _, work, arguments = heapq.heappop(self._events)
            if at > self.schedule.seconds:
                break
            still = still + 1 if at <= self.now else 0
            assert still < 20_000, "time stands still"
            self.now = max(self.now, at)
            work(*arguments)
        return self.record

    # --- life ---

    def _start(self, host: _Host) -> None:
        host.life += 1
        host.queue, host.busy, host.participant, host.waiting, host.tickets = [], False, None, [], {}
        born = f"{self._rng.getrandbits(32):08x}"
        kept = host.disk.get(b"who")
        if kept is not None:
            born, standing = kept.decode().split()
        met = dict(part.split("=") for part in (host.disk.get(b"met") or b"").decode().split())
        host.identity = self._parts.identity(host.name, self.voters, born, StoreStatus(standing) if kept else None, met)
        self._keep(host)
        self._form(host, host.life)

    def _keep(self, host: _Host) -> None:
        """Who it is, written at once."""
        assert host.identity is not None
        who = host.identity
        host.disk.lay(
            [
                (b"who", f"{who.store_id} {who.status.value}".encode()),
                (b"met", " ".join(f"{name}={born}" for name, born in who.known_stores.items()).encode()),
            ]
        )
        host.disk.sync(len(host.disk.pending))

    def _form(self, host: _Host, life: int) -> None:
        if host.life != life or host.name not in self.truth.up or host.participant is not None:
            return
        assert host.identity is not None
        if host.identity.status is not StoreStatus.FORMING:
            self._join(host)
            return
        for name in host.identity.awaited:
            self._say(host, name, StoreAnnouncement(host.name, host.identity.store_id))
        self._at(self.now + MEET, self._form, host, life)

    def _join(self, host: _Host) -> None:
        assert host.identity is not None
        host.journal = self._parts.journal()
        durable, rest = host.journal.load(host.disk.get)
        host.disk.lay(rest)
        host.disk.sync(len(rest))
        host.machine = KeyValueMachine()
        host.participant = self._parts.participant(
            host.identity.identity,
            Membership(self.voters),
            durable,
            host.machine,
            self.now,
            random.Random(self._rng.random()),
            self._settings,
            self._parts.raft,
        )
        self._pump(host)

    def _fault(self, fault: Fault) -> None:
        self.truth.do(fault)
        self.record.troubles.append(self.now)
        for name in fault.members if fault.what in ("crash", "leave", "restart", "wake", "wipe") else ():
            host = self.hosts[name]
            if fault.what in ("crash", "leave", "wipe"):
                host.life += 1
                host.disk.crash(self._rng)
                host.participant = None
                if fault.what == "wipe":
                    host.disk = Disk()
            elif fault.what == "restart" and host.participant is None:
                self._start(host)
            elif fault.what == "wake":
                words, host.waiting = host.waiting, []
                for sender, word in words:
                    self._receive(host, sender, word)
                self._tick(host, host.timer)

    # --- a member and its disk ---

    def _frozen(self, host: _Host) -> bool:
        return host.name in self.truth.stopped or (
            (share := self.truth.slow.get(host.name, 0.0)) > 0 and self.now % 1.0 < share
        )

    def _pump(self, host: _Host) -> None:
        member = host.participant
        if member is None or host.busy:
            return
        while True:
            if member.raft.log.bytes_since_snapshot > LOG:
                member.compact(self.now)
            host.queue += member.drain_effects()
            if not host.queue:
                break
            queue, host.queue = host.queue, []
            operations = [
                part for effect in queue if isinstance(effect, Persist) for part in host.journal.write(effect)
            ]
            if operations:
                self.writes += 1
                host.busy = True
                host.disk.lay(operations)
                if self._parts.acknowledges_early:
                    self._carry_out(host, queue)
                    queue = []
                done = self.now + self._rng.uniform(*self._write)
                self._at(done, self._written, host, host.life, len(operations), queue)
                break
            self._carry_out(host, queue)
        self._arm(host)

    def _arm(self, host: _Host) -> None:
        assert host.participant is not None
        host.timer += 1
        self._at(max(self.now + 0.0005, host.participant.next_deadline()), self._tick, host, host.timer)

    def _written(self, host: _Host, life: int, count: int, queue: list[Effect]) -> None:
        if host.life != life:
            return
        host.disk.sync(count)
        if self._frozen(host):  # the disk has it, the process does not know yet
            self._at(self.now + 0.05, self._written, host, life, 0, queue)
            return
        host.busy = False
        self._carry_out(host, queue)
        self._pump(host)

    def _carry_out(self, host: _Host, queue: list[Effect]) -> None:
        member = host.participant
        assert member is not None
        for effect in queue:
            match effect:
                case Send():
                    self._say(host, effect.to, effect.message)
                case Apply() | Restore() | ReadReady():
                    member.done(self.now, effect)
                    self._show(host)
                case RequestCompleted():
                    if (told := host.tickets.pop(effect.ticket, None)) is not None:
                        told(effect.outcome)
                case _:
                    pass
        self._show(host)

    def _show(self, host: _Host) -> None:
        member = host.participant
        assert member is not None
        role = member.raft.role.name.lower() if member.receives_log else "observer"
        showed = Showed(
            self.now,
            host.name,
            host.life,
            role,
            member.raft.term,
            member.state.applied_index,
            member.state.log_digest.hex(),
        )
        last = self.record.showed[-1] if self.record.showed else None
        if last is None or replace(showed, at=0.0) != replace(last, at=0.0):
            self.record.showed.append(showed)

    def _tick(self, host: _Host, timer: int) -> None:
        if host.participant is None or timer != host.timer:
            return
        if self._frozen(host):
            if host.name not in self.truth.stopped:
                self._at(int(self.now) + self.truth.slow[host.name] + 0.001, self._tick, host, timer)
            return
        member = host.participant
        member.set_alive(tuple(sorted(self.truth.up)))
        member.tick(self.now)
        self._pump(host)
        if host.busy:
            self._arm(host)

    # --- the network ---

    def _say(self, host: _Host, to: str, word: WireMessage) -> None:
        assert host.identity is not None
        self.words += 1
        target = self.hosts[node_name(to)]
        if (host.name, target.name) in self.truth.cuts:
            return
        if self._wire:
            word = decode(encode(word)[8:])
        for _ in range(1 + (self._rng.random() < self.truth.duplicate)):
            if self._rng.random() >= self.truth.loss:
                way = self._rng.uniform(*WAY) + self.truth.delay * self._rng.random()
                self._at(self.now + way, self._arrive, target, host.identity.identity, word)

    def _arrive(self, host: _Host, sender: str, word: WireMessage) -> None:
        if host.name not in self.truth.up:
            return
        if self._frozen(host):
            if len(host.waiting) < 256:
                host.waiting.append((sender, word))
            if host.name not in self.truth.stopped:
                self._at(int(self.now) + self.truth.slow[host.name] + 0.001, self._thaw, host)
            return
        self._receive(host, sender, word)

    def _thaw(self, host: _Host) -> None:
        words, host.waiting = host.waiting, []
        for sender, word in words:
            self._arrive(host, sender, word)

    def _receive(self, host: _Host, sender: str, word: WireMessage) -> None:
        if isinstance(word, StoreAnnouncement | StoreAcknowledgement):
            self._met(host, sender, word)
        elif host.participant is not None and not isinstance(word, Hello):
            host.participant.directory.learn(sender, 1)
            host.participant.receive(self.now, sender, word)
            self._pump(host)

    def _met(self, host: _Host, sender: str, word: StoreAnnouncement | StoreAcknowledgement) -> None:
        who = host.identity
        assert who is not None
        if isinstance(word, StoreAcknowledgement):
            if who.receive_acknowledgement(node_name(sender), word):
                self._keep(host)
                self._form(host, host.life)
        elif (answer := who.acknowledge(node_name(sender), word)) is not None:
            self._keep(host)
            self._say(host, sender, answer)

    # --- who asks ---

    def _ask_some(self) -> None:
        self._at(self.now + self._every * 2 * self._rng.random(), self._ask_some)
        if self.truth.loss or self.truth.slow or self.truth.delay:
            self.record.troubles.append(self.now)
        name = self._rng.choice(list(self.hosts))
        if self.now <= self.schedule.seconds - BY - 1.0:
            self._ask(self.hosts[name], self._rng.choice(("set", "set", "get")))

    def _ask(self, host: _Host, what: str) -> None:
        member = host.participant
        if member is None or self._frozen(host):
            return
        name = f"k{self._rng.randrange(NAMES)}"
        asked = Asked(what, host.name, name, f"v{next(self._values)}" if what == "set" else "", self.now)
        self.record.asked.append(asked)
        if what == "get":
            host.tickets[member.read(self.now, self.now + BY)] = lambda outcome: self._read(host, asked, outcome)
        else:
            id = member.new_proposal_id()
            data = pack_assignment(name, asked.value.encode())
            ticket = member.propose(self.now, id, data, self.now + BY)
            host.tickets[ticket] = lambda outcome: self._proposed(host, asked, id, data, outcome)
        self._pump(host)

    def _read(self, host: _Host, asked: Asked, outcome: Outcome) -> None:
        if outcome.state is OutcomeState.COMMITTED and host.participant is not None:
            fact = host.machine.values.get(asked.name)
            asked.up_to_index = host.participant.state.applied_index  # by now it may show more than it had to
            if fact is not None:
                asked.value, asked.at, asked.times = fact.value.decode(), fact.at_index, fact.times_set
        asked.ended, asked.outcome = self.now, outcome.state.name.lower()

    def _proposed(self, host: _Host, asked: Asked, id: bytes, data: bytes, outcome: Outcome) -> None:
        """An asker that does not know asks again, in half of the cases at another node."""
        if outcome.state is OutcomeState.UNKNOWN and asked.began < self.schedule.seconds - 4 * BY:
            other = host if self._rng.random() < 0.5 else self._rng.choice(list(self.hosts.values()))
            self._at(self.now + 0.5 * self._rng.random(), self._again, other, asked, id, data)
            return
        asked.ended, asked.outcome, asked.at = self.now, outcome.state.name.lower(), outcome.at_index

    def _again(self, host: _Host, asked: Asked, id: bytes, data: bytes) -> None:
        member = host.participant
        if member is None or self._frozen(host):
            self._at(self.now + 1.0, self._again, self._rng.choice(list(self.hosts.values())), asked, id, data)
            return
        void = self._rng.random() < 0.3
        ticket = member.propose(self.now, id, b"" if void else data, self.now + BY, repeated=True, void=void)
        host.tickets[ticket] = lambda outcome: self._proposed(host, asked, id, data, outcome)
        self._pump(host)

    def _change_some(self) -> None:
        """An operator lets another node vote, or one that does no more."""
        if self.now > self.record.settled - 5.0:
            return  # in the end nothing happens any more: a hand-over refuses for a moment, too
        self._at(self.now + self._changes * (0.5 + self._rng.random()), self._change_some)
        for host in self.hosts.values():
            member = host.participant
            if member is None or member.raft.role is not Role.LEADER or self._frozen(host):
                continue
            members = member.raft.membership
            outside = [
                member.directory.known[name].identity
                for name in member.directory.known
                if member.directory.known[name].identity not in members.everybody
            ]
            if members.learners:
                new = Membership((*members.voters, members.learners[0]), members.learners[1:])
            elif len(members.voters) > 3 or not outside:
                gone = self._rng.choice(members.voters)
                new = Membership(tuple(name for name in members.voters if name != gone), members.learners)
            else:
                new = Membership(members.voters, (self._rng.choice(outside),))
            if len(new.voters) < 3:
                continue
            try:
                if member.name not in new.voters:  # one that leads hands over first
                    member.transfer_leadership(self.now, next(iter(member.raft.voters_by_lag())))
                else:
                    member.change_membership(self.now, new)
            except RejectedError:
                continue
            self.record.troubles.append(self.now)
            self._pump(host)
