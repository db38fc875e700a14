"""The log in common put together for a node: member, journal on the store, words on the cluster's links, operators."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable, Iterable

import msgpack

from ..admission import Ledger
from ..config import ConfigError
from ..config.agree import AgreeSetup
from ..ops import Counters, Log
from ..store import Store, StoreBusy, StoreError
from ..subsystem import Order
from .codec import Hello, Said
from .core import RefusedError, Role, Times
from .facts import Facts, set_fact
from .identity import Identity, Meet, Met, Standing, plain
from .journal import Journal, JournalError, Operation
from .member import AddedNode, Answer, Effect, HandsOver, Member, Send, Tell
from .messages import Apply, Persist, Readable, Restore, Voters
from .replica import Outcome, State
from .wire import Links, Wire, now

FOR_GOOD = float("inf")
WHO, MET = b"agree/who", b"agree/met"
AGAIN = 5.0  # seconds after a fault of the store until it is tried again
MEET = 0.5  # seconds between questions whether the others have met this store
CALL_BY = 4.0  # seconds in which an operator's call is answered


class Agreement:
    """This node's part in the log in common (`subsystem.Subsystem`)."""

    def __init__(
        self, setup: AgreeSetup, name: str, links: Links, store: Store, ledger: Ledger, counters: Counters, log: Log
    ) -> None:
        self._setup, self._name, self._links, self._store = setup, name, links, store
        # Not the configuration's seed: ids of proposals must not come again after a restart.
        self._counters, self._log, self._rng = counters, log, random.Random(random.SystemRandom().getrandbits(64))
        self._times = Times(setup.election, setup.heartbeat, log=4 * setup.log, kept=setup.log // 2)
        self.machine = Facts()
        self._identity = self._known()
        self._member: Member | None = None
        self._journal = Journal()
        self._wire = Wire(links, self._hello, self._deliver, ledger, counters)
        self._why = "starts"  # why it takes no part
        self._queue: list[Effect] = []
        self._more, self._wanted, self._stopped = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self._busy = False  # effects are being carried out; who does it takes up new ones, too
        self._timer: asyncio.TimerHandle | None = None
        self._tickets: dict[int, asyncio.Future[Outcome]] = {}
        self._slowest = 0.0  # seconds that a write took, since it was last told

    # --- who this is ---

    def _known(self) -> Identity:
        """As the store has it. Raises ConfigError for a store of another node or cluster."""
        try:
            raw = self._store.get(WHO)
            met = msgpack.unpackb(self._store.get(MET) or b"\x80")
        except StoreError as error:
            raise ConfigError(f"store.directory: {error}") from None
        if raw is None:
            born = f"{random.SystemRandom().getrandbits(48):012x}"
            return Identity(self._name, self._setup.voters, born, None, met)
        cluster, name, born, standing = msgpack.unpackb(raw)
        if (cluster, name) != (self._links.cluster, self._name):
            raise ConfigError(
                f"store.directory: the log in it is that of {name} in cluster {cluster}, not of "
                f"{self._name} in {self._links.cluster}"
            )
        return Identity(self._name, self._setup.voters, born, Standing(standing), met)

    def _who(self) -> list[Operation]:
        who = self._identity
        return [
            (WHO, bytes(msgpack.packb([self._links.cluster, self._name, who.born, who.standing.value]))),
            (MET, bytes(msgpack.packb(who.met))),
        ]

    def _hello(self, to: str) -> Hello:
        return Hello(self._links.cluster, self._name, self._identity.identity, plain(to), self.machine.version)

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
                    await asyncio.sleep(AGAIN)
        finally:
            self._halt("ended")
            self._wire.close()

    def yields(self) -> None:
        """A successor serves; it can't have the store before this process has ended, so the log is left here."""

    def takes_back(self) -> None:
        """Nothing was given."""

    def leave(self) -> None:
        """Have somebody else lead before this process ends."""
        member = self._member
        if member is None or member.core.role is not Role.LEADER:
            return
        if not (others := member.core.furthest()):
            return
        try:
            member.hand_over(now(), others[0])
        except RefusedError:  # it hands over already
            return
        self._pump()

    def figures(self) -> dict[str, int]:
        """Counts of the member."""
        member = self._member
        if member is None:
            return {"agree.member": 0}
        return {f"agree.{name}": count for name, count in sorted(member.counts.items())} | {
            "agree.member": 1,
            "agree.term": member.core.term,
            "agree.applied": member.replica.applied,
            "agree.doubles": member.replica.doubles,
            "agree.log_bytes": member.core.size,
        }

    # --- life ---

    async def _begin(self) -> None:
        """Come back as what the store says, once it is durable there who this is."""
        await self._durable(self._who())
        while self._identity.standing is Standing.FORMING:
            self._why = f"forms: {' '.join(self._identity.others)} must have met this store"
            for name in self._identity.others:
                self._wire.send(name, Meet(self._name, self._identity.born))
            self._more.clear()
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + MEET):
                    await self._more.wait()
            except TimeoutError:
                pass
        await self._durable(self._who())
        self._wire.renew()
        self._journal = Journal()
        durable, rest = self._journal.load(self._store.get)
        await self._durable(rest)
        self._queue.clear()
        self.machine = Facts()
        first = Voters(self._setup.voters)
        self._member = Member(self._identity.identity, first, durable, self.machine, now(), self._rng, self._times)
        self._log.event(
            "agree.takes_part",
            identity=self._identity.identity,
            term=durable.term,
            applied=self._member.replica.applied,
            standing=self._identity.standing.value,
        )
        self._pump()

    def _halt(self, why: str) -> None:
        """Take no part. What was not carried out never was: it is as after a crash."""
        self._log.event("agree.halted", why=why)
        self._counters.add("agree.halted")
        self._why, self._member, self._busy = why, None, False
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for future in self._tickets.values():
            if not future.done():
                future.set_result(Outcome(State.UNKNOWN, why=why))
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
                        self._store.offer(key, value, FOR_GOOD)
                    break
                except StoreBusy:
                    await self._store.room()
        await self._store.committed()
        self._slowest = max(self._slowest, now() - begun)
        if self._slowest > self._times.election:  # meanwhile nothing was said: others may have a new leader
            self._log.event("agree.slow_disk", seconds=round(self._slowest, 3))
            self._counters.add("agree.slow_disk")
            self._slowest = 0.0

    async def _work(self) -> None:
        """Make durable what must be, one write for all that has come together, and then do what stood behind it."""
        while True:
            await self._more.wait()
            self._more.clear()
            self._busy = True
            while (member := self._member) is not None and (self._queue or self._collect(member)):
                self._collect(member)
                queue, self._queue = self._queue, []
                operations = [
                    part for effect in queue if isinstance(effect, Persist) for part in self._journal.write(effect)
                ]
                if operations:
                    await self._durable(operations)
                for effect in queue:
                    self._carry_out(member, effect)
            self._busy = False
            self._pump()

    def _collect(self, member: Member) -> list[Effect]:
        if member.core.since > self._setup.log:
            member.compact(now())
        self._queue += member.take()
        return self._queue

    def _pump(self) -> None:
        """Carry out what needs no disk at once; leave the rest to the worker."""
        member = self._member
        if member is None or self._busy:
            return
        self._busy = True
        while self._collect(member) and not any(isinstance(effect, Persist) for effect in self._queue):
            queue, self._queue = self._queue, []
            for effect in queue:
                self._carry_out(member, effect)
        self._busy = False
        if self._queue:
            self._more.set()
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(loop.time() + max(0.0, member.wake_at() - now()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if (member := self._member) is not None:
            member.alive = tuple(self._links.alive())
            voters = set(map(plain, member.members.voters))
            member.observer.others = tuple(name for name in member.alive if name not in voters)
            member.tick(now())
            self._pump()
            if self._timer is None:  # the worker is at the disk; time goes on
                loop = asyncio.get_running_loop()
                self._timer = loop.call_at(loop.time() + max(0.001, member.wake_at() - now()), self._tick)

    def _carry_out(self, member: Member, effect: Effect) -> None:
        match effect:
            case Send():
                self._wire.send(effect.to, effect.word)
            case Apply() | Restore() | Readable():
                member.done(now(), effect)
            case Answer():
                if (future := self._tickets.pop(effect.ticket, None)) is not None and not future.done():
                    future.set_result(effect.outcome)
            case Tell():
                self._log.event(f"agree.{effect.what}", **effect.fields)
            case _:
                pass

    def _deliver(self, hello: Hello, word: Said) -> None:
        if isinstance(word, Meet | Met):
            self._met(hello, word)
        elif not isinstance(word, Hello) and (member := self._member) is not None:
            member.met(hello.identity, hello.version)
            member.receive(now(), hello.identity, word)
            self._pump()

    def _met(self, hello: Hello, word: Meet | Met) -> None:
        if isinstance(word, Met):
            if self._identity.answered(hello.name, word):
                self._log.event(
                    "agree.standing", standing=self._identity.standing.value, identity=self._identity.identity
                )
                self._more.set()
            return
        new = hello.name not in self._identity.met
        if (answer := self._identity.meet(hello.name, word)) is not None:
            asyncio.get_running_loop().create_task(self._say_met(hello.name, answer, new))

    async def _say_met(self, to: str, answer: Met, new: bool) -> None:
        """Say whom this node has met, after that is durable: it holds for ever."""
        try:
            if new:
                await self._durable(self._who())
            else:
                await self._store.committed()
        except StoreError:
            return
        self._wire.send(to, answer)

    # --- operators ---

    def _changed(self, change: Callable[[Member], str]) -> str:
        """Have the member change who takes part or leads; the answer, also where it refuses."""
        if (member := self._member) is None:
            return f"FAILURE takes no part: {self._why}\n"
        try:
            answer = change(member)
        except RefusedError as error:
            return f"FAILURE {error}{f'; the leader is {plain(error.leader)}' if error.leader else ''}\n"
        self._pump()
        return f"{answer}\n"

    async def _ticket(self, begin: Callable[[Member], int]) -> Outcome:
        """The outcome of what is asked of the member."""
        if (member := self._member) is None:
            return Outcome(State.REFUSED, why=self._why, again=AGAIN)
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._tickets[begin(member)] = future
        self._pump()
        return await future

    def calls(self) -> dict[str, Callable[[], str]]:
        """What operators may call."""
        return {"agree": self._status}

    def orders(self) -> dict[str, Order]:
        """What they may call with words."""
        return {
            "agree-set": _words(2, 3, self._set),
            "agree-get": _words(1, 1, self._get),
            "agree-ask": _words(1, 1, self._ask),
            "agree-void": _words(1, 1, self._void),
            "agree-add": _words(1, 2, self._add),
            "agree-remove": _words(1, 1, self._remove),
            "agree-transfer": _words(1, 1, self._transfer),
            "agree-snapshot": _words(0, 0, self._snapshot),
        }

    def _status(self) -> str:
        member = self._member
        if member is None:
            return f"FAILURE takes no part: {self._why}\n"
        core = member.core
        lines = [
            f"identity {member.name}",
            f"standing {self._identity.standing.value}",
            f"role {core.role.name.lower() if member.votes else 'observer'}",
            f"term {core.term}",
            f"leader {plain(member.leader) or '-'}",
            f"commit {core.commit}",
            f"applied {member.replica.applied}",
            f"chain {member.replica.chain.hex()}",
            f"log-bytes {core.size}",
            f"snapshot {core.snapshot.upto if core.snapshot is not None else 0}",
            f"follows {plain(member.observer.upstream) or '-'}" if not member.votes else "follows -",
        ]
        lines += [
            f"{'voter' if name in member.members.voters else 'learner'} {name} lag "
            f"{core.lag(name) if core.role is Role.LEADER else '-'}"
            for name in member.members.everybody
        ]
        return "\n".join(["SUCCESS", *lines, "EOT"]) + "\n"

    async def _set(self, words: list[str]) -> str:
        name, value, *id = words
        data = set_fact(name, value.encode())
        return await self._proposed(bytes.fromhex(id[0]) if id else None, data, False)

    async def _proposed(self, known: bytes | None, data: bytes, void: bool) -> str:
        id = known or (self._member.new_id() if self._member is not None else bytes(16))
        return _told(
            id,
            await self._ticket(
                lambda member: member.propose(now(), id, data, now() + CALL_BY, repeated=known is not None, void=void)
            ),
        )

    async def _void(self, words: list[str]) -> str:
        return await self._proposed(bytes.fromhex(words[0]), b"", True)

    async def _ask(self, words: list[str]) -> str:
        """What has become of an id, as all that is agreed by now says."""
        id = bytes.fromhex(words[0])
        read = await self._ticket(lambda member: member.read(now(), now() + CALL_BY))
        if read.state is not State.AGREED or self._member is None:
            return _told(id, Outcome(State.UNKNOWN, why=read.why, again=read.again))
        return _told(
            id,
            self._member.replica.outcome(id)
            or Outcome(State.UNKNOWN, why=f"not agreed up to {read.at}; agree-void makes sure"),
        )

    async def _get(self, words: list[str]) -> str:
        read = await self._ticket(lambda member: member.read(now(), now() + CALL_BY))
        if read.state is not State.AGREED or self._member is None:
            return f"FAILURE {read.why}; again in {read.again:.1f} s\n"
        fact = self.machine.known.get(words[0])
        shown = f"set-at {fact.at} times {fact.times} {fact.value.decode()}" if fact is not None else "not set"
        return f"SUCCESS upto {self._member.replica.applied} {shown}\n"

    async def _add(self, words: list[str]) -> str:
        """Let a node learn; let it vote if it is a learner already."""
        return self._changed(lambda member: self._added(member.add_node(now(), words[0])))

    def _added(self, added: AddedNode) -> str:
        what = "votes" if added.votes else "learns; call again to let it vote"
        return f"SUCCESS {added.identity} {what}"

    async def _remove(self, words: list[str]) -> str:
        """Let a node take no part any more; a leader hands over first."""
        return self._changed(lambda member: self._removed(words[0], member.remove_node(now(), words[0])))

    def _removed(self, name: str, instead: HandsOver | None) -> str:
        if instead is not None:
            return f"FAILURE it leads and hands over to {plain(instead.to)}; call again there"
        return f"SUCCESS {name} goes"

    async def _transfer(self, words: list[str]) -> str:
        """Have another voter lead."""
        return self._changed(lambda member: f"SUCCESS {member.transfer(now(), words[0])} is told to lead")

    async def _snapshot(self, words: list[str]) -> str:
        member = self._member
        if member is None:
            return f"FAILURE takes no part: {self._why}\n"
        member.compact(now())
        self._pump()
        return f"SUCCESS upto {member.core.snapshot.upto if member.core.snapshot is not None else 0}\n"


def _told(id: bytes, outcome: Outcome) -> str:
    again = f"; again in {outcome.again:.1f} s" if outcome.again else ""
    match outcome.state:
        case State.AGREED:
            return f"SUCCESS agreed {outcome.at} {id.hex()} {outcome.answer.decode()}\n"
        case State.REFUSED:
            return f"FAILURE refused {id.hex()} {outcome.why}{again}\n"
        case _:
            return f"FAILURE unknown {id.hex()} {outcome.why}{again}\n"


def _words(least: int, most: int, order: Callable[[list[str]], Awaitable[str]]) -> Order:
    """An order that takes so many words."""

    async def checked(words: list[str]) -> str:
        if not least <= len(words) <= most:
            return f"FAILURE takes {least} to {most} words\n"
        try:
            return await order(words)
        except ValueError as error:
            return f"FAILURE {error}\n"

    return checked
