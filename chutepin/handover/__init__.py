"""Two processes of one node during an upgrade: how they find each other, who accepts, who owns the keys, who has what
room, and what becomes of all that when one of them stalls or dies.

`state_machine.HandoverStateMachine` decides, `session.HandoverSession` speaks, `frames` is the codec, all without I/O;
`link.Handover` is the edge. The core is known through the port `Host`, keys through `chutepin.idempotency`, no wire at
all.
`docs/operation.md` has the design and the table of cases."""

from .link import Handover, rendezvous_path
from .session import HandoverSession, Host
from .state_machine import HandoverStateMachine, Stage

__all__ = ["Handover", "HandoverSession", "HandoverStateMachine", "Host", "Stage", "rendezvous_path"]
