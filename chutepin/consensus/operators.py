"""Answers the operators' calls about the replicated log.

It parses arguments, asks the member and renders its answer as text; what is allowed the member decides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..subsystem import CommandHandler
from .errors import RejectedError
from .identity import StoreStatus, node_name
from .key_value import KeyValueMachine, pack_assignment
from .participant import AddedNode, Participant, TransferStarted
from .replica import Outcome, OutcomeState
from .state import Role
from .wire import now

CALL_TIMEOUT = 4.0  # seconds in which an operator's call is answered
ROLE_NAMES = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "would",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}
NO_ID = bytes(16)  # of a proposal that is refused before it has one


class ConsensusPart(Protocol):
    """The node's part in the replicated log, as the calls need it."""

    @property
    def participant(self) -> Participant | None:
        """The member; None while the node takes no part."""

    @property
    def idle_reason(self) -> str:
        """Why the node takes no part."""

    @property
    def standing(self) -> StoreStatus:
        """How far the other voters know this node's store."""

    @property
    def machine(self) -> KeyValueMachine:
        """The state that follows from the log."""

    def pump(self) -> None:
        """Carry out the member's new effects."""

    async def outcome(self, begin: Callable[[Participant], int]) -> Outcome:
        """Begin a request at the member, which returns its ticket, and wait for the outcome."""


class OperatorCalls:
    """The operators' calls of one node."""

    def __init__(self, part: ConsensusPart) -> None:
        self._part = part

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
        return f"FAILURE takes no part: {self._part.idle_reason}\n"

    def _status(self) -> str:
        participant = self._part.participant
        if participant is None:
            return self._idle()
        lines = [*_member_lines(participant, self._part.standing), *_voter_lines(participant)]
        return "\n".join(["SUCCESS", *lines, "EOT"]) + "\n"

    # --- proposals and reads ---

    async def _set(self, arguments: list[str]) -> str:
        name, value, *id = arguments
        data = pack_assignment(name, value.encode())
        return await self._propose(bytes.fromhex(id[0]) if id else None, data, void=False)

    async def _void(self, arguments: list[str]) -> str:
        """Make sure that a proposal whose outcome is unknown is never agreed, if it was not by now."""
        return await self._propose(bytes.fromhex(arguments[0]), b"", void=True)

    async def _propose(self, known: bytes | None, data: bytes, *, void: bool) -> str:
        """Propose; `known` is the id of an earlier try."""
        participant = self._part.participant
        id = known or (participant.new_proposal_id() if participant is not None else NO_ID)

        def begin(participant: Participant) -> int:
            return participant.propose(now(), id, data, now() + CALL_TIMEOUT, repeated=known is not None, void=void)

        return _render(id, await self._part.outcome(begin))

    async def _read(self) -> Outcome:
        return await self._part.outcome(lambda participant: participant.read(now(), now() + CALL_TIMEOUT))

    async def _ask(self, arguments: list[str]) -> str:
        """What has become of a proposal, as far as all that is agreed by now shows."""
        id = bytes.fromhex(arguments[0])
        read = await self._read()
        participant = self._part.participant
        if read.state is not OutcomeState.COMMITTED or participant is None:
            return _render(id, Outcome(OutcomeState.UNKNOWN, why=read.why, again=read.again))
        missing = Outcome(OutcomeState.UNKNOWN, why=f"not agreed up to {read.at}; agree-void makes sure")
        return _render(id, participant.replica.outcome(id) or missing)

    async def _get(self, arguments: list[str]) -> str:
        read = await self._read()
        participant = self._part.participant
        if read.state is not OutcomeState.COMMITTED or participant is None:
            return f"FAILURE {read.why}; again in {read.again:.1f} s\n"
        fact = self._part.machine.known.get(arguments[0])
        shown = f"set-at {fact.at} times {fact.times} {fact.value.decode()}" if fact is not None else "not set"
        return f"SUCCESS upto {participant.replica.applied_index} {shown}\n"

    # --- who takes part, and who leads ---

    def _change(self, change: Callable[[Participant], str]) -> str:
        """Have the member change something; the answer, also where it refuses."""
        if (participant := self._part.participant) is None:
            return self._idle()
        try:
            answer = change(participant)
        except RejectedError as error:
            return f"FAILURE {error}{f'; the leader is {node_name(error.leader)}' if error.leader else ''}\n"
        self._part.pump()
        return f"{answer}\n"

    async def _add(self, arguments: list[str]) -> str:
        """Make a node a learner; let it vote if it is a learner already."""
        return self._change(lambda participant: _render_added(participant.add_node(now(), arguments[0])))

    async def _remove(self, arguments: list[str]) -> str:
        """Let a node take no part any more; a leader hands over first."""
        name = arguments[0]
        return self._change(lambda participant: _render_removed(name, participant.remove_node(now(), name)))

    async def _transfer(self, arguments: list[str]) -> str:
        """Have another voter lead."""
        return self._change(lambda participant: f"SUCCESS {participant.transfer(now(), arguments[0])} is told to lead")

    async def _snapshot(self, arguments: list[str]) -> str:
        """Keep the state now, and let go of the log before it."""
        participant = self._part.participant
        if participant is None:
            return self._idle()
        participant.compact(now())
        self._part.pump()
        return f"SUCCESS upto {participant.raft.log.snapshot_index}\n"


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


def _member_lines(participant: Participant, standing: StoreStatus) -> list[str]:
    core = participant.raft
    return [
        f"identity {participant.name}",
        f"standing {standing.value}",
        f"role {ROLE_NAMES[core.role] if participant.votes else 'observer'}",
        f"term {core.term}",
        f"leader {node_name(participant.leader) or '-'}",
        f"commit {core.log.commit_index}",
        f"applied {participant.replica.applied_index}",
        f"chain {participant.replica.chain.hex()}",
        f"log-bytes {core.log.size_bytes}",
        f"snapshot {participant.raft.log.snapshot_index}",
        f"follows {node_name(participant.observer.upstream) or '-'}" if not participant.votes else "follows -",
    ]


def _voter_lines(participant: Participant) -> list[str]:
    """One line for each voter and learner, with the entries that it lacks where the leader is asked."""
    leads = participant.raft.role is Role.LEADER
    lines = []
    for name in participant.membership.everybody:
        part = "voter" if name in participant.membership.voters else "learner"
        lines.append(f"{part} {name} lag {participant.raft.lag(name) if leads else '-'}")
    return lines


def _render(id: bytes, outcome: Outcome) -> str:
    """The answer that tells the outcome of a proposal."""
    again = f"; again in {outcome.again:.1f} s" if outcome.again else ""
    match outcome.state:
        case OutcomeState.COMMITTED:
            return f"SUCCESS agreed {outcome.at} {id.hex()} {outcome.answer.decode()}\n"
        case OutcomeState.REJECTED:
            return f"FAILURE refused {id.hex()} {outcome.why}{again}\n"
        case _:
            return f"FAILURE unknown {id.hex()} {outcome.why}{again}\n"


def _render_added(added: AddedNode) -> str:
    return f"SUCCESS {added.identity} {'votes' if added.votes else 'learns; call again to let it vote'}"


def _render_removed(name: str, instead: TransferStarted | None) -> str:
    if instead is not None:
        return f"FAILURE it leads and hands over to {node_name(instead.to)}; call again there"
    return f"SUCCESS {name} goes"
