"""Runs a node's part in the replicated log: the participant, its journal on the store, its messages on the wire."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable

from ..admission import DescriptorBudget
from ..config.consensus import ConsensusSetup
from ..counters import Counters
from ..logs import Log
from ..store import Store, StoreError
from ..subsystem import CommandHandler
from .codec import Hello, WireMessage
from .errors import JournalError, RejectedError
from .identity import StoreAcknowledgement, StoreAnnouncement, StoreStatus, node_name
from .identity_exchange import IdentityExchange
from .identity_store import load_identity
from .journal import Journal
from .key_value import KeyValueMachine
from .messages import Apply, Membership, Persist, ReadReady, Restore
from .operators import OperatorCalls
from .outbox import Effect, LogEvent, RequestCompleted, Send
from .participant import Participant
from .replicated_state import Outcome, OutcomeState
from .settings import RaftSettings
from .state import Role
from .store_writer import StoreWriter
from .wire import Links, Wire, now

RETRY_AFTER_S = 5.0  # after a fault of the store
BUSY_TICK_DELAY_S = 0.001  # the shortest, while a write is under way


class ConsensusSubsystem:
    """The node's part in the replicated log (`subsystem.Subsystem`, `operators.ConsensusPart`)."""

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
        """Raises ConfigError if the store belongs to another node or cluster."""
        self._setup = setup
        self._name = name
        self._links = links
        self._store = store
        self._counters = counters
        self._log = log
        # Not the configuration's seed: ids of proposals must not come again after a restart.
        self._rng = random.Random(random.SystemRandom().getrandbits(64))
        self._settings = RaftSettings(
            setup.election_timeout_s,
            setup.heartbeat_interval_s,
            max_log_bytes=4 * setup.snapshot_after_bytes,
            retained_bytes=setup.snapshot_after_bytes // 2,
        )
        self.machine = KeyValueMachine()
        self._identity = load_identity(store, links.cluster, name, setup.voters)
        self._writer = StoreWriter(store, self._settings.election_timeout_s, counters, log)
        self.participant: Participant | None = None
        self._journal = Journal()
        self._wire = Wire(links, self._hello, self._deliver, descriptors, counters)
        self._identities = IdentityExchange(links.cluster, self._identity, self._writer, self._wire.send, log)
        self.idle_reason = "starts"  # why it takes no part
        self._queue: list[Effect] = []
        self._has_work = asyncio.Event()
        self._started = asyncio.Event()
        self._busy = False  # effects are being carried out; whoever does it takes up new ones, too
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[Outcome]] = {}

    def _hello(self, to: str) -> Hello:
        return Hello(self._links.cluster, self._name, self._identity.identity, node_name(to), self.machine.version)

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Return all sockets: it has none of its own."""
        return sockets

    def sockets(self) -> list[socket.socket]:
        """Return no socket."""
        return []

    def start(self) -> None:
        """Take part from now on."""
        self._started.set()

    async def run(self) -> None:
        """Work until cancelled. A fault of the store ends its part until the store works again."""
        await self._started.wait()
        try:
            while True:
                try:
                    await self._join()
                    await self._work()
                except (StoreError, JournalError) as error:
                    self._halt(str(error))
                    await asyncio.sleep(RETRY_AFTER_S)
        finally:
            self._halt("ended")
            self._wire.close()

    def yield_ownership(self) -> None:
        """Do nothing: a successor can't open the store before this process has ended."""

    def resume_ownership(self) -> None:
        """Do nothing, as nothing was yielded."""

    def leave(self) -> None:
        """Have another voter lead before this process ends."""
        participant = self.participant
        if participant is None or participant.raft.role is not Role.LEADER:
            return
        others = participant.raft.voters_by_lag()
        if not others:
            return
        try:
            participant.transfer_leadership(now(), others[0])
        except RejectedError:  # a transfer is under way
            return
        self.pump()

    def metrics(self) -> dict[str, int]:
        """Return the participant's counters, by name."""
        participant = self.participant
        if participant is None:
            return {"consensus.participates": 0}
        return {f"consensus.{name}": count for name, count in sorted(participant.counts.items())} | {
            "consensus.participates": 1,
            "consensus.term": participant.raft.term,
            "consensus.applied_index": participant.state.applied_index,
            "consensus.duplicate_proposals": participant.state.duplicates,
            "consensus.log_bytes": participant.raft.log.size_bytes,
        }

    async def _join(self) -> None:
        """Take part as what the store says, once the identity is durable and the other voters know the store."""
        await self._identities.write()
        while self._identity.status is StoreStatus.FORMING:
            self.idle_reason = f"forms: {' '.join(self._identity.awaited)} must have met this store"
            await self._identities.announce()
        await self._identities.write()
        self._wire.reconnect()
        self._journal = Journal()
        saved, leftovers = self._journal.load(self._store.get)
        await self._writer.write(leftovers)
        self._queue.clear()
        self.machine = KeyValueMachine()
        membership = Membership(self._setup.voters)
        identity = self._identity.identity
        self.participant = Participant(identity, membership, saved, self.machine, now(), self._rng, self._settings)
        self._log.event(
            "consensus.joined",
            identity=identity,
            term=saved.term,
            applied=self.participant.state.applied_index,
            status=self._identity.status.value,
        )
        self.pump()

    def _halt(self, reason: str) -> None:
        """Take no part. Effects that were not carried out never will be, as after a crash."""
        self._log.event("consensus.halted", why=reason)
        self._counters.add("consensus.halted")
        self.idle_reason = reason
        self.participant = None
        self._busy = False
        self._queue.clear()
        self._cancel_timer()
        for future in self._tickets.values():
            if not future.done():
                future.set_result(Outcome(OutcomeState.UNKNOWN, reason=reason))
        self._tickets.clear()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, participant: Participant, min_delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        delay_s = max(min_delay_s, participant.next_deadline() - now())
        self._timer = loop.call_at(loop.time() + delay_s, self._tick)

    async def _work(self) -> None:
        """Write what must be durable, one write for all that has come together, then do what stood behind it."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            self._busy = True
            while (participant := self.participant) is not None and (self._queue or self._collect(participant)):
                self._collect(participant)
                await self._write_and_carry_out(participant)
            self._busy = False
            self.pump()

    async def _write_and_carry_out(self, participant: Participant) -> None:
        queue = self._queue
        self._queue = []
        operations = [
            operation for effect in queue if isinstance(effect, Persist) for operation in self._journal.write(effect)
        ]
        if operations:
            await self._writer.write(operations)
        for effect in queue:
            self._carry_out(participant, effect)

    def _collect(self, participant: Participant) -> list[Effect]:
        """Queue the participant's new effects; return the queue."""
        if participant.raft.log.bytes_since_snapshot > self._setup.snapshot_after_bytes:
            participant.compact(now())
        self._queue += participant.drain_effects()
        return self._queue

    def pump(self) -> None:
        """Carry out what needs no write at once; leave the rest to the worker."""
        participant = self.participant
        if participant is None or self._busy:
            return
        self._busy = True
        while self._collect(participant) and not any(isinstance(effect, Persist) for effect in self._queue):
            queue = self._queue
            self._queue = []
            for effect in queue:
                self._carry_out(participant, effect)
        self._busy = False
        if self._queue:
            self._has_work.set()
        self._cancel_timer()
        self._set_timer(participant, 0.0)

    def _tick(self) -> None:
        self._timer = None
        participant = self.participant
        if participant is None:
            return
        participant.set_alive(tuple(self._links.alive()))
        participant.tick(now())
        self.pump()
        if self._timer is None:  # a write is under way
            self._set_timer(participant, BUSY_TICK_DELAY_S)

    def _carry_out(self, participant: Participant, effect: Effect) -> None:
        match effect:
            case Send():
                self._wire.send(effect.to, effect.message)
            case Apply() | Restore() | ReadReady():
                participant.done(now(), effect)
            case RequestCompleted():
                future = self._tickets.pop(effect.ticket, None)
                if future is not None and not future.done():
                    future.set_result(effect.outcome)
            case LogEvent():
                self._log.event(f"consensus.{effect.name}", **effect.fields)
            case _:
                pass

    def _deliver(self, hello: Hello, message: WireMessage) -> None:
        match message:
            case Hello():
                pass
            case StoreAnnouncement():
                self._identities.receive_announcement(hello, message)
            case StoreAcknowledgement():
                self._identities.receive_acknowledgement(hello, message)
            case _:
                participant = self.participant
                if participant is not None:
                    participant.directory.learn(hello.identity, hello.version)
                    participant.receive(now(), hello.identity, message)
                    self.pump()

    @property
    def store_status(self) -> StoreStatus:
        """How far the other voters know this node's store."""
        return self._identity.status

    async def outcome(self, begin: Callable[[Participant], int]) -> Outcome:
        """Begin a request at the participant, which returns its ticket, and wait for the outcome."""
        participant = self.participant
        if participant is None:
            return Outcome(OutcomeState.REJECTED, reason=self.idle_reason, retry_after_s=RETRY_AFTER_S)
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
