"""Hand-over from a predecessor to a successor process of one node during an upgrade.

The package covers the rendezvous, the passing of listening sockets, the ownership of idempotency keys, shared limits,
and recovery when either process stalls or dies.

Without I/O: `state_machine` (stages and transitions), `session` (message handling), `messages` and `frames` (message
types and their encoding). With I/O: `rendezvous` (the Unix socket through which the processes connect), `connection`
(streams that lose no bytes of a peer that ends), `intent_file` (what the node was told, for a process that outlives the
one that was told) and `link` (the transport of a session). The node is accessed through
the port `HandoverHost`. `docs/operation.md` describes the design and prints the transition table."""

from .host import HandoverHost
from .intent_file import IntentFile
from .link import HandoverLink
from .messages import ProcessUsage
from .rendezvous import Rendezvous, rendezvous_path
from .session import Delivery, HandoverSession
from .state_machine import HandoverStateMachine, Stage

__all__ = [
    "Delivery",
    "HandoverHost",
    "HandoverLink",
    "HandoverSession",
    "HandoverStateMachine",
    "IntentFile",
    "ProcessUsage",
    "Rendezvous",
    "Stage",
    "rendezvous_path",
]
