"""Answers the operators' calls about the replicated log.

It parses arguments, asks the member and renders its answer as text; what is allowed the member decides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..subsystem import CommandHandler
from .core import RefusedError, Role
from .facts import Facts, set_fact
from .identity import Standing, plain
from .member import AddedNode, HandsOver, Member
from .replica import Outcome, State
from .wire import now

CALL_TIMEOUT = 4.0  # seconds in which an operator's call is answered
NO_ID = bytes(16)  # of a proposal that is refused before it has one


class Participant(Protocol):
    """The node's part in the replicated log, as the calls need it."""

    @property
    def member(self) -> Member | None:
        """The member; None while the node takes no part."""

    @property
    def idle_reason(self) -> str:
        """Why the node takes no part."""

    @property
    def standing(self) -> Standing:
        """How far the other voters know this node's store."""

    @property
    def machine(self) -> Facts:
        """The state that follows from the log."""

    def pump(self) -> None:
        """Carry out the member's new effects."""

    async def outcome(self, begin: Callable[[Member], int]) -> Outcome:
        """Begin a request at the member, which returns its ticket, and wait for the outcome."""


class OperatorCalls:
    """The operators' calls of one node."""

    def __init__(self, participant: Participant) -> None:
        self._participant = participant

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the calls without arguments, by name."""
        return {"agree": self._status}

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the calls with arguments, by name."""
        return {
            "agree-set": _checked(2, 3, self._set),
            "agree-get": _checked(1, 1, self._get),
            "agree-ask": _checked(1, 1, self._ask),
            "agree-void": _checked(1, 1, self._void),
            "agree-add": _checked(1, 2, self._add),
            "agree-remove": _checked(1, 1, self._remove),
            "agree-transfer": _checked(1, 1, self._transfer),
            "agree-snapshot": _checked(0, 0, self._snapshot),
        }

    def _idle(self) -> str:
        """The answer of a node that takes no part."""
        return f"FAILURE takes no part: {self._participant.idle_reason}\n"

    def _status(self) -> str:
        member = self._participant.member
        if member is None:
            return self._idle()
        lines = [*_member_lines(member, self._participant.standing), *_voter_lines(member)]
        return "\n".join(["SUCCESS", *lines, "EOT"]) + "\n"

    # --- proposals and reads ---

    async def _set(self, arguments: list[str]) -> str:
        name, value, *id = arguments
        data = set_fact(name, value.encode())
        return await self._propose(bytes.fromhex(id[0]) if id else None, data, void=False)

    async def _void(self, arguments: list[str]) -> str:
        """Make sure that a proposal whose outcome is unknown is never agreed, if it was not by now."""
        return await self._propose(bytes.fromhex(arguments[0]), b"", void=True)

    async def _propose(self, known: bytes | None, data: bytes, *, void: bool) -> str:
        """Propose; `known` is the id of an earlier try."""
        member = self._participant.member
        id = known or (member.new_id() if member is not None else NO_ID)

        def begin(member: Member) -> int:
            return member.propose(now(), id, data, now() + CALL_TIMEOUT, repeated=known is not None, void=void)

        return _render(id, await self._participant.outcome(begin))

    async def _read(self) -> Outcome:
        return await self._participant.outcome(lambda member: member.read(now(), now() + CALL_TIMEOUT))

    async def _ask(self, arguments: list[str]) -> str:
        """What has become of a proposal, as far as all that is agreed by now shows."""
        id = bytes.fromhex(arguments[0])
        read = await self._read()
        member = self._participant.member
        if read.state is not State.AGREED or member is None:
            return _render(id, Outcome(State.UNKNOWN, why=read.why, again=read.again))
        missing = Outcome(State.UNKNOWN, why=f"not agreed up to {read.at}; agree-void makes sure")
        return _render(id, member.replica.outcome(id) or missing)

    async def _get(self, arguments: list[str]) -> str:
        read = await self._read()
        member = self._participant.member
        if read.state is not State.AGREED or member is None:
            return f"FAILURE {read.why}; again in {read.again:.1f} s\n"
        fact = self._participant.machine.known.get(arguments[0])
        shown = f"set-at {fact.at} times {fact.times} {fact.value.decode()}" if fact is not None else "not set"
        return f"SUCCESS upto {member.replica.applied} {shown}\n"

    # --- who takes part, and who leads ---

    def _change(self, change: Callable[[Member], str]) -> str:
        """Have the member change something; the answer, also where it refuses."""
        if (member := self._participant.member) is None:
            return self._idle()
        try:
            answer = change(member)
        except RefusedError as error:
            return f"FAILURE {error}{f'; the leader is {plain(error.leader)}' if error.leader else ''}\n"
        self._participant.pump()
        return f"{answer}\n"

    async def _add(self, arguments: list[str]) -> str:
        """Make a node a learner; let it vote if it is a learner already."""
        return self._change(lambda member: _render_added(member.add_node(now(), arguments[0])))

    async def _remove(self, arguments: list[str]) -> str:
        """Let a node take no part any more; a leader hands over first."""
        name = arguments[0]
        return self._change(lambda member: _render_removed(name, member.remove_node(now(), name)))

    async def _transfer(self, arguments: list[str]) -> str:
        """Have another voter lead."""
        return self._change(lambda member: f"SUCCESS {member.transfer(now(), arguments[0])} is told to lead")

    async def _snapshot(self, arguments: list[str]) -> str:
        """Keep the state now, and let go of the log before it."""
        member = self._participant.member
        if member is None:
            return self._idle()
        member.compact(now())
        self._participant.pump()
        return f"SUCCESS upto {_snapshot_index(member)}\n"


def _checked(least: int, most: int, order: CommandHandler) -> CommandHandler:
    """Wrap a call: check the number of its arguments, and answer a ValueError as a failure."""

    async def checked(arguments: list[str]) -> str:
        if not least <= len(arguments) <= most:
            return f"FAILURE takes {least} to {most} words\n"
        try:
            return await order(arguments)
        except ValueError as error:
            return f"FAILURE {error}\n"

    return checked


def _snapshot_index(member: Member) -> int:
    """The last entry that the snapshot covers; 0 without one."""
    return member.core.snapshot.upto if member.core.snapshot is not None else 0


def _member_lines(member: Member, standing: Standing) -> list[str]:
    core = member.core
    return [
        f"identity {member.name}",
        f"standing {standing.value}",
        f"role {core.role.name.lower() if member.votes else 'observer'}",
        f"term {core.term}",
        f"leader {plain(member.leader) or '-'}",
        f"commit {core.commit}",
        f"applied {member.replica.applied}",
        f"chain {member.replica.chain.hex()}",
        f"log-bytes {core.size}",
        f"snapshot {_snapshot_index(member)}",
        f"follows {plain(member.observer.upstream) or '-'}" if not member.votes else "follows -",
    ]


def _voter_lines(member: Member) -> list[str]:
    """One line for each voter and learner, with the entries that it lacks where the leader is asked."""
    leads = member.core.role is Role.LEADER
    lines = []
    for name in member.members.everybody:
        part = "voter" if name in member.members.voters else "learner"
        lines.append(f"{part} {name} lag {member.core.lag(name) if leads else '-'}")
    return lines


def _render(id: bytes, outcome: Outcome) -> str:
    """The answer that tells the outcome of a proposal."""
    again = f"; again in {outcome.again:.1f} s" if outcome.again else ""
    match outcome.state:
        case State.AGREED:
            return f"SUCCESS agreed {outcome.at} {id.hex()} {outcome.answer.decode()}\n"
        case State.REFUSED:
            return f"FAILURE refused {id.hex()} {outcome.why}{again}\n"
        case _:
            return f"FAILURE unknown {id.hex()} {outcome.why}{again}\n"


def _render_added(added: AddedNode) -> str:
    return f"SUCCESS {added.identity} {'votes' if added.votes else 'learns; call again to let it vote'}"


def _render_removed(name: str, instead: HandsOver | None) -> str:
    if instead is not None:
        return f"FAILURE it leads and hands over to {plain(instead.to)}; call again there"
    return f"SUCCESS {name} goes"
