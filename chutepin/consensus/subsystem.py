"""Runs a node's part in the replicated log: its member, the journal on the store, messages on the cluster's links."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Iterable

import msgpack

from ..admission import DescriptorBudget
from ..config import ConfigError
from ..config.consensus import ConsensusSetup
from ..counters import Counters
from ..logs import Log
from ..store import Store, StoreBusyError, StoreError
from ..subsystem import CommandHandler
from .codec import Hello, WireMessage
from .errors import JournalError, RejectedError
from .identity import (
    IDENTITY_KEY,
    MET_KEY,
    Identity,
    StoreAcknowledgement,
    StoreAnnouncement,
    StoredIdentity,
    StoreStatus,
    node_name,
)
from .journal import Journal, Operation
from .key_value import KeyValueMachine
from .messages import Apply, Membership, Persist, ReadReady, Restore
from .operators import OperatorCalls
from .participant import Effect, LogEvent, Participant, RequestCompleted, Send
from .replica import Outcome, OutcomeState
from .settings import RaftSettings
from .state import Role
from .wire import Links, Wire, now

NO_EXPIRY = float("inf")
NO_MET = bytes(msgpack.packb({}))
RETRY_AFTER = 5.0  # seconds after a fault of the store until it is tried again
MEET_EVERY = 0.5  # seconds between questions whether the others have met this store


class ConsensusSubsystem:
    """This node's part in the replicated log (`subsystem.Subsystem`, `operators.Participant`)."""

    def __init__(
        self,
        setup: ConsensusSetup,
        name: str,
        links: Links,
        store: Store,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
    ) -> None:
        self._setup, self._name, self._links, self._store = setup, name, links, store
        # Not the configuration's seed: ids of proposals must not come again after a restart.
        self._counters, self._log, self._rng = counters, log, random.Random(random.SystemRandom().getrandbits(64))
        self._settings = RaftSettings(
            setup.election, setup.heartbeat, max_log_bytes=4 * setup.log, retained_bytes=setup.log // 2
        )
        self.machine = KeyValueMachine()
        self._identity = self._load_identity()
        self.participant: Participant | None = None
        self._journal = Journal()
        self._wire = Wire(links, self._hello, self._deliver, descriptors, counters)
        self.idle_reason = "starts"  # why it takes no part
        self._queue: list[Effect] = []
        self._more, self._wanted = asyncio.Event(), asyncio.Event()
        self._busy = False  # effects are being carried out; who does it takes up new ones, too
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[Outcome]] = {}
        self._slowest = 0.0  # seconds that a write took, since it was last told

    # --- who this is ---

    def _load_identity(self) -> Identity:
        """Read the identity from the store, or draw one for a new store. Raises ConfigError for another node's."""
        try:
            raw = self._store.get(IDENTITY_KEY)
            met = msgpack.unpackb(self._store.get(MET_KEY) or NO_MET)
        except StoreError as error:
            raise ConfigError(f"store.directory: {error}") from None
        if raw is None:
            born = f"{random.SystemRandom().getrandbits(48):012x}"
            return Identity(self._name, self._setup.voters, born, None, met)
        stored = StoredIdentity.unpack(raw)
        if (stored.cluster, stored.node) != (self._links.cluster, self._name):
            raise ConfigError(
                f"store.directory: the log in it is that of {stored.node} in cluster {stored.cluster}, not of "
                f"{self._name} in {self._links.cluster}"
            )
        return Identity(self._name, self._setup.voters, stored.born, stored.standing, met)

    def _identity_operations(self) -> list[Operation]:
        """What the store is to hold of the identity."""
        identity = self._identity
        stored = StoredIdentity(self._links.cluster, self._name, identity.born, identity.standing)
        return [(IDENTITY_KEY, stored.pack()), (MET_KEY, bytes(msgpack.packb(identity.met)))]

    def _hello(self, to: str) -> Hello:
        return Hello(self._links.cluster, self._name, self._identity.identity, node_name(to), self.machine.version)

    # --- subsystem.Subsystem ---

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """It has none of its own."""
        return sockets

    def sockets(self) -> list[socket.socket]:
        """None."""
        return []

    def start(self) -> None:
        """Take part from now on."""
        self._wanted.set()

    async def run(self) -> None:
        """Work until cancelled. A fault of the store ends its part until the store works again."""
        await self._wanted.wait()
        try:
            while True:
                try:
                    await self._begin()
                    await self._work()
                except (StoreError, JournalError) as error:
                    self._halt(str(error))
                    await asyncio.sleep(RETRY_AFTER)
        finally:
            self._halt("ended")
            self._wire.close()

    def yield_ownership(self) -> None:
        """A successor serves; it can't have the store before this process has ended, so the log is left here."""

    def resume_ownership(self) -> None:
        """Nothing was given."""

    def leave(self) -> None:
        """Have somebody else lead before this process ends."""
        participant = self.participant
        if participant is None or participant.raft.role is not Role.LEADER:
            return
        if not (others := participant.raft.voters_by_lag()):
            return
        try:
            participant.transfer_leadership(now(), others[0])
        except RejectedError:  # it hands over already
            return
        self.pump()

    def metrics(self) -> dict[str, int]:
        """Counts of the member."""
        participant = self.participant
        if participant is None:
            return {"agree.member": 0}
        return {f"agree.{name}": count for name, count in sorted(participant.counts.items())} | {
            "agree.member": 1,
            "agree.term": participant.raft.term,
            "agree.applied": participant.replica.applied_index,
            "agree.doubles": participant.replica.doubles,
            "agree.log_bytes": participant.raft.log.size_bytes,
        }

    # --- life ---

    async def _begin(self) -> None:
        """Come back as what the store says, once it is durable there who this is."""
        await self._durable(self._identity_operations())
        while self._identity.standing is StoreStatus.FORMING:
            self.idle_reason = f"forms: {' '.join(self._identity.others)} must have met this store"
            for name in self._identity.others:
                self._wire.send(name, StoreAnnouncement(self._name, self._identity.born))
            self._more.clear()
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + MEET_EVERY):
                    await self._more.wait()
            except TimeoutError:
                pass
        await self._durable(self._identity_operations())
        self._wire.renew()
        self._journal = Journal()
        durable, rest = self._journal.load(self._store.get)
        await self._durable(rest)
        self._queue.clear()
        self.machine = KeyValueMachine()
        first = Membership(self._setup.voters)
        self.participant = Participant(
            self._identity.identity, first, durable, self.machine, now(), self._rng, self._settings
        )
        self._log.event(
            "agree.takes_part",
            identity=self._identity.identity,
            term=durable.term,
            applied=self.participant.replica.applied_index,
            standing=self._identity.standing.value,
        )
        self.pump()

    def _halt(self, why: str) -> None:
        """Take no part. What was not carried out never was: it is as after a crash."""
        self._log.event("agree.halted", why=why)
        self._counters.add("agree.halted")
        self.idle_reason, self.participant, self._busy = why, None, False
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for future in self._tickets.values():
            if not future.done():
                future.set_result(Outcome(OutcomeState.UNKNOWN, why=why))
        self._tickets.clear()

    async def _durable(self, operations: Iterable[Operation]) -> None:
        """Write, in this order, and wait until it is on the disk. Raises StoreError."""
        begun = now()
        for key, value in operations:
            while True:
                try:
                    if value is None:
                        self._store.withdraw(key)
                    else:
                        self._store.offer(key, value, NO_EXPIRY)
                    break
                except StoreBusyError:
                    await self._store.room()
        await self._store.committed()
        self._slowest = max(self._slowest, now() - begun)
        if self._slowest > self._settings.election_timeout_s:
            # Nothing was sent meanwhile: the others may have a new leader.
            self._log.event("agree.slow_disk", seconds=round(self._slowest, 3))
            self._counters.add("agree.slow_disk")
            self._slowest = 0.0

    async def _work(self) -> None:
        """Make durable what must be, one write for all that has come together, and then do what stood behind it."""
        while True:
            await self._more.wait()
            self._more.clear()
            self._busy = True
            while (participant := self.participant) is not None and (self._queue or self._collect(participant)):
                self._collect(participant)
                queue, self._queue = self._queue, []
                operations = [
                    part for effect in queue if isinstance(effect, Persist) for part in self._journal.write(effect)
                ]
                if operations:
                    await self._durable(operations)
                for effect in queue:
                    self._carry_out(participant, effect)
            self._busy = False
            self.pump()

    def _collect(self, participant: Participant) -> list[Effect]:
        if participant.raft.log.bytes_since_snapshot > self._setup.log:
            participant.compact(now())
        self._queue += participant.drain_effects()
        return self._queue

    def pump(self) -> None:
        """Carry out what needs no disk at once; leave the rest to the worker."""
        participant = self.participant
        if participant is None or self._busy:
            return
        self._busy = True
        while self._collect(participant) and not any(isinstance(effect, Persist) for effect in self._queue):
            queue, self._queue = self._queue, []
            for effect in queue:
                self._carry_out(participant, effect)
        self._busy = False
        if self._queue:
            self._more.set()
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(loop.time() + max(0.0, participant.next_deadline() - now()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if (participant := self.participant) is not None:
            participant.alive = tuple(self._links.alive())
            voters = set(map(node_name, participant.membership.voters))
            participant.observer.others = tuple(name for name in participant.alive if name not in voters)
            participant.tick(now())
            self.pump()
            if self._timer is None:  # the worker is at the disk; time goes on
                loop = asyncio.get_running_loop()
                self._timer = loop.call_at(loop.time() + max(0.001, participant.next_deadline() - now()), self._tick)

    def _carry_out(self, participant: Participant, effect: Effect) -> None:
        match effect:
            case Send():
                self._wire.send(effect.to, effect.message)
            case Apply() | Restore() | ReadReady():
                participant.done(now(), effect)
            case RequestCompleted():
                if (future := self._tickets.pop(effect.ticket, None)) is not None and not future.done():
                    future.set_result(effect.outcome)
            case LogEvent():
                self._log.event(f"agree.{effect.what}", **effect.fields)
            case _:
                pass

    def _deliver(self, hello: Hello, word: WireMessage) -> None:
        if isinstance(word, StoreAnnouncement | StoreAcknowledgement):
            self._met(hello, word)
        elif not isinstance(word, Hello) and (participant := self.participant) is not None:
            participant.met(hello.identity, hello.version)
            participant.receive(now(), hello.identity, word)
            self.pump()

    def _met(self, hello: Hello, word: StoreAnnouncement | StoreAcknowledgement) -> None:
        if isinstance(word, StoreAcknowledgement):
            if self._identity.answered(hello.name, word):
                self._log.event(
                    "agree.standing", standing=self._identity.standing.value, identity=self._identity.identity
                )
                self._more.set()
            return
        new = hello.name not in self._identity.met
        if (answer := self._identity.meet(hello.name, word)) is not None:
            asyncio.get_running_loop().create_task(self._say_met(hello.name, answer, new))

    async def _say_met(self, to: str, answer: StoreAcknowledgement, new: bool) -> None:
        """Say whom this node has met, after that is durable: it holds for ever."""
        try:
            if new:
                await self._durable(self._identity_operations())
            else:
                await self._store.committed()
        except StoreError:
            return
        self._wire.send(to, answer)

    # --- operators ---

    @property
    def standing(self) -> StoreStatus:
        """How far the other voters know this node's store."""
        return self._identity.standing

    async def outcome(self, begin: Callable[[Participant], int]) -> Outcome:
        """Begin a request at the member, which returns its ticket, and wait for the outcome."""
        if (participant := self.participant) is None:
            return Outcome(OutcomeState.REJECTED, why=self.idle_reason, again=RETRY_AFTER)
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._tickets[begin(participant)] = future
        self.pump()
        return await future

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the operators' calls without arguments, by name."""
        return OperatorCalls(self).commands()

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the operators' calls with arguments, by name."""
        return OperatorCalls(self).commands_with_arguments()
