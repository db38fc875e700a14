"""Hand-over between two processes of one node during an upgrade.

Rendezvous, passing of the listening sockets, ownership of idempotency keys, shared limits, and recovery when one of
the two stalls or dies.

Decisions without I/O: `state_machine` (stages and transitions), `session` (messages in, messages out), `messages`
and `frames` (types and their bytes). I/O: `rendezvous` (the Unix socket where the two meet), `link` (the
connection). The node is known through the port `HandoverHost`; `docs/operation.md` has the design and the transition
table."""

from .link import HandoverLink
from .messages import ProcessUsage
from .rendezvous import Rendezvous, rendezvous_path
from .session import Delivery, HandoverHost, HandoverSession
from .state_machine import HandoverStateMachine, Stage

__all__ = [
    "Delivery",
    "HandoverHost",
    "HandoverLink",
    "HandoverSession",
    "HandoverStateMachine",
    "ProcessUsage",
    "Rendezvous",
    "Stage",
    "rendezvous_path",
]
