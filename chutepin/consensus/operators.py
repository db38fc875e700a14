"""The operators' calls for the replicated log: argument parsing, calls of the participant and answers as text.

The names and answers of the calls are a stable interface, because operators' scripts use them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..subsystem import CommandHandler
from .administration import AddedNode, TransferStarted, add_node, remove_node, transfer_leadership
from .errors import InvalidRequestError, RejectedError
from .identity import StoreStatus, node_name
from .key_value import KeyValueMachine, pack_assignment
from .participant import Participant
from .replicated_state import PROPOSAL_ID_BYTES, Outcome, OutcomeState
from .state import Role
from .wire import now

CALL_TIMEOUT_S = 4.0
NO_ID = bytes(PROPOSAL_ID_BYTES)  # in the answer to a proposal that is rejected before an id is generated
ROLE_NAMES = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "would",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


class ConsensusNode(Protocol):
    """The consensus functions of a node that the calls require."""

    @property
    def participant(self) -> Participant | None:
        """The participant; None while the node is inactive in the replicated log."""

    @property
    def inactive_reason(self) -> str:
        """The reason why there is no participant."""

    @property
    def store_status(self) -> StoreStatus:
        """The acknowledgement of this node's store by the other voters."""

    @property
    def machine(self) -> KeyValueMachine:
        """The state machine that applies the log."""

    def pump(self) -> None:
        """Carry out the participant's new effects."""

    async def outcome(self, begin: Callable[[Participant], int]) -> Outcome:
        """Start a request with `begin`, which returns the participant's ticket, and wait for the outcome."""


class OperatorCalls:
    """The operators' calls of one node."""

    def __init__(self, part: ConsensusNode) -> None:
        self._node = part

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the calls without arguments, by name."""
        return {"agree": self._status}

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the calls with arguments, by name."""
        return {
            "agree-set": _with_argument_check(2, 3, self._set),
            "agree-get": _with_argument_check(1, 1, self._get),
            "agree-ask": _with_argument_check(1, 1, self._query),
            "agree-void": _with_argument_check(1, 1, self._void),
            "agree-add": _with_argument_check(1, 2, self._add),
            "agree-remove": _with_argument_check(1, 1, self._remove),
            "agree-transfer": _with_argument_check(1, 1, self._transfer),
            "agree-snapshot": _with_argument_check(0, 0, self._snapshot),
        }

    def _inactive_answer(self) -> str:
        """Return the answer of a node without a participant."""
        return f"FAILURE takes no part: {self._node.inactive_reason}\n"

    def _status(self) -> str:
        participant = self._node.participant
        if participant is None:
            return self._inactive_answer()
        lines = [*_participant_lines(participant, self._node.store_status), *_member_lines(participant)]
        return "\n".join(["SUCCESS", *lines, "EOT"]) + "\n"

    async def _set(self, arguments: list[str]) -> str:
        key, value, *proposal_id = arguments
        data = pack_assignment(key, value.encode())
        return await self._propose(_parse_id(proposal_id[0]) if proposal_id else None, data, void=False)

    async def _void(self, arguments: list[str]) -> str:
        """Ensure that a proposal of unknown outcome is never committed, unless it is committed already."""
        return await self._propose(_parse_id(arguments[0]), b"", void=True)

    async def _propose(self, earlier_id: bytes | None, data: bytes, *, void: bool) -> str:
        """Propose and return the answer; `earlier_id` is the id of an earlier attempt, None for a new proposal."""
        participant = self._node.participant
        proposal_id = earlier_id or (participant.new_proposal_id() if participant is not None else NO_ID)
        repeated = earlier_id is not None

        def begin(participant: Participant) -> int:
            deadline = now() + CALL_TIMEOUT_S
            return participant.propose(now(), proposal_id, data, deadline, repeated=repeated, void=void)

        return _render(proposal_id, await self._node.outcome(begin))

    async def _read(self) -> Outcome:
        return await self._node.outcome(lambda participant: participant.read(now(), now() + CALL_TIMEOUT_S))

    async def _query(self, arguments: list[str]) -> str:
        """Return the outcome of a proposal as of a linearizable read."""
        proposal_id = _parse_id(arguments[0])
        read = await self._read()
        participant = self._node.participant
        if read.state is not OutcomeState.COMMITTED or participant is None:
            unknown = Outcome(OutcomeState.UNKNOWN, reason=read.reason, retry_after_s=read.retry_after_s)
            return _render(proposal_id, unknown)
        missing = Outcome(OutcomeState.UNKNOWN, reason=f"not agreed up to {read.at_index}; agree-void makes sure")
        return _render(proposal_id, participant.state.outcome(proposal_id) or missing)

    async def _get(self, arguments: list[str]) -> str:
        read = await self._read()
        participant = self._node.participant
        if read.state is not OutcomeState.COMMITTED or participant is None:
            return f"FAILURE {read.reason}; again in {read.retry_after_s:.1f} s\n"
        stored = self._node.machine.values.get(arguments[0])
        shown = "not set"
        if stored is not None:
            shown = f"set-at {stored.at_index} times {stored.times_set} {stored.value.decode()}"
        return f"SUCCESS upto {participant.state.applied_index} {shown}\n"

    def _change(self, change: Callable[[Participant], str]) -> str:
        """Call `change` with the participant; return its answer, or the failure answer if it is rejected."""
        participant = self._node.participant
        if participant is None:
            return self._inactive_answer()
        try:
            answer = change(participant)
        except RejectedError as error:
            hint = f"; the leader is {node_name(error.leader)}" if error.leader else ""
            return f"FAILURE {error}{hint}\n"
        self._node.pump()
        return f"{answer}\n"

    async def _add(self, arguments: list[str]) -> str:
        """Add a node as a learner, or promote it to a voter if it is a learner already."""
        return self._change(lambda participant: _render_added(add_node(participant, now(), arguments[0])))

    async def _remove(self, arguments: list[str]) -> str:
        """Remove a member; a leader starts a leadership transfer instead of removing itself."""
        name = arguments[0]
        return self._change(lambda participant: _render_removed(name, remove_node(participant, now(), name)))

    async def _transfer(self, arguments: list[str]) -> str:
        """Transfer the leadership to another voter."""
        return self._change(
            lambda participant: f"SUCCESS {transfer_leadership(participant, now(), arguments[0])} is told to lead"
        )

    async def _snapshot(self, arguments: list[str]) -> str:
        """Take a snapshot and truncate the log before it."""
        participant = self._node.participant
        if participant is None:
            return self._inactive_answer()
        participant.compact(now())
        self._node.pump()
        return f"SUCCESS upto {participant.raft.log.snapshot_index}\n"


def _with_argument_check(min_arguments: int, max_arguments: int, handler: CommandHandler) -> CommandHandler:
    """Wrap a call to check the number of arguments and to answer invalid arguments with a failure."""

    async def call_if_valid(arguments: list[str]) -> str:
        if not min_arguments <= len(arguments) <= max_arguments:
            return f"FAILURE takes {min_arguments} to {max_arguments} words\n"
        try:
            return await handler(arguments)
        except (InvalidRequestError, UnicodeError) as error:
            return f"FAILURE {error}\n"

    return call_if_valid


def _parse_id(text: str) -> bytes:
    """Parse a proposal id in hexadecimal. Raises InvalidRequestError."""
    try:
        return bytes.fromhex(text)
    except ValueError as error:
        raise InvalidRequestError(str(error)) from error


def _participant_lines(participant: Participant, store_status: StoreStatus) -> list[str]:
    raft = participant.raft
    is_observer = not participant.receives_log
    upstream = node_name(participant.observer.upstream) if is_observer else ""
    return [
        f"identity {participant.name}",
        f"standing {store_status.value}",
        f"role {'observer' if is_observer else ROLE_NAMES[raft.role]}",
        f"term {raft.term}",
        f"leader {node_name(participant.leader) or '-'}",
        f"commit {raft.log.commit_index}",
        f"applied {participant.state.applied_index}",
        f"chain {participant.state.log_digest.hex()}",
        f"log-bytes {raft.log.size_bytes}",
        f"snapshot {raft.log.snapshot_index}",
        f"follows {upstream or '-'}",
    ]


def _member_lines(participant: Participant) -> list[str]:
    """Return one line per voter and learner, with its lag in entries if this node is the leader."""
    is_leader = participant.raft.role is Role.LEADER
    lines = []
    for name in participant.membership.all_members:
        kind = "voter" if name in participant.membership.voters else "learner"
        lines.append(f"{kind} {name} lag {participant.raft.lag(name) if is_leader else '-'}")
    return lines


def _render(proposal_id: bytes, outcome: Outcome) -> str:
    """Return the answer for the outcome of a proposal."""
    again = f"; again in {outcome.retry_after_s:.1f} s" if outcome.retry_after_s else ""
    match outcome.state:
        case OutcomeState.COMMITTED:
            return f"SUCCESS agreed {outcome.at_index} {proposal_id.hex()} {outcome.result.decode()}\n"
        case OutcomeState.REJECTED:
            return f"FAILURE refused {proposal_id.hex()} {outcome.reason}{again}\n"
        case _:
            return f"FAILURE unknown {proposal_id.hex()} {outcome.reason}{again}\n"


def _render_added(added: AddedNode) -> str:
    return f"SUCCESS {added.identity} {'votes' if added.is_voter else 'learns; call again to let it vote'}"


def _render_removed(name: str, transfer: TransferStarted | None) -> str:
    if transfer is not None:
        return f"FAILURE it leads and hands over to {node_name(transfer.to)}; call again there"
    return f"SUCCESS {name} goes"
