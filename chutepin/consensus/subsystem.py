"""The consensus subsystem: runs the participant with its journal on the store and its connections to other nodes."""

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
from .wire import ClusterLinks, Transport, now

RETRY_AFTER_S = 5.0  # delay before a restart after a store error
BUSY_TICK_DELAY_S = 0.001  # minimum delay of the next tick while a write is in progress


class ConsensusSubsystem:
    """The consensus subsystem of one node; implements `subsystem.Subsystem` and `operators.ConsensusNode`."""

    def __init__(
        self,
        setup: ConsensusSetup,
        name: str,
        links: ClusterLinks,
        store: Store,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
    ) -> None:
        """Load the identity from the store. Raises ConfigError if the store belongs to another node or cluster."""
        self._setup = setup
        self._name = name
        self._links = links
        self._store = store
        self._counters = counters
        self._log = log
        # Not seeded from the configuration, because proposal ids must not repeat after a restart.
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
        self._transport = Transport(links, self._hello, self._deliver, descriptors, counters)
        self._identities = IdentityExchange(links.cluster, self._identity, self._writer, self._transport.send, log)
        self.inactive_reason = "starts"  # the reason why there is no participant
        self._queue: list[Effect] = []
        self._has_work = asyncio.Event()
        self._started = asyncio.Event()
        self._busy = False  # effects are being carried out, by a loop that also collects new ones
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[Outcome]] = {}

    def _hello(self, to: str) -> Hello:
        return Hello(self._links.cluster, self._name, self._identity.identity, node_name(to), self.machine.version)

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Return all sockets, because this subsystem has no listening socket."""
        return sockets

    def sockets(self) -> list[socket.socket]:
        """Return an empty list, because this subsystem has no listening socket."""
        return []

    def start(self) -> None:
        """Allow `run` to create the participant."""
        self._started.set()

    async def run(self) -> None:
        """Run the participant until cancelled; after a store or journal error, start again after RETRY_AFTER_S."""
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
            self._transport.close()

    def yield_ownership(self) -> None:
        """Do nothing, because a successor cannot open the store before this process has ended."""

    def resume_ownership(self) -> None:
        """Do nothing, because `yield_ownership` does nothing."""

    def leave(self) -> None:
        """Transfer the leadership to the most up-to-date voter before this process ends."""
        participant = self.participant
        if participant is None or participant.raft.role is not Role.LEADER:
            return
        others = participant.raft.voters_by_lag()
        if not others:
            return
        try:
            participant.transfer_leadership(now(), others[0])
        except RejectedError:  # a transfer is in progress
            return
        self.pump()

    def metrics(self) -> dict[str, int]:
        """Return the participant's counters and gauges by name."""
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
        """Create the participant from the store, once the identity is durable and acknowledged by the other voters.

        The announcement is repeated while the store status is FORMING."""
        await self._identities.write()
        while self._identity.status is StoreStatus.FORMING:
            self.inactive_reason = f"forms: {' '.join(self._identity.awaited)} must have met this store"
            await self._identities.announce()
        await self._identities.write()
        self._transport.reconnect()
        self._journal = Journal()
        saved, cleanup_operations = self._journal.load(self._store.get)
        await self._writer.write(cleanup_operations)
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
        """Stop the participant and discard its pending effects, as in a crash."""
        self._log.event("consensus.halted", why=reason)
        self._counters.add("consensus.halted")
        self.inactive_reason = reason
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
        """Carry out the queued effects in batches: one durable write for all `Persist` effects, then the others."""
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
        """Carry out the participant's effects, up to the first batch with a `Persist`, which is left to `_work`."""
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
        if self._timer is None:  # a write is in progress
            self._set_timer(participant, BUSY_TICK_DELAY_S)

    def _carry_out(self, participant: Participant, effect: Effect) -> None:
        match effect:
            case Send():
                self._transport.send(effect.to, effect.message)
            case Apply() | Restore() | ReadReady():
                participant.carry_out(now(), effect)
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
                    participant.directory.record(hello.identity, hello.version)
                    participant.receive(now(), hello.identity, message)
                    self.pump()

    @property
    def store_status(self) -> StoreStatus:
        """The acknowledgement of this node's store by the other voters."""
        return self._identity.status

    async def outcome(self, begin: Callable[[Participant], int]) -> Outcome:
        """Start a request with `begin`, which returns the participant's ticket, and wait for the outcome."""
        participant = self.participant
        if participant is None:
            return Outcome(OutcomeState.REJECTED, reason=self.inactive_reason, retry_after_s=RETRY_AFTER_S)
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
