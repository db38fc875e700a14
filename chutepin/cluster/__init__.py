"""Cluster membership by SWIM with Lifeguard's extensions: live nodes, departed nodes and bad links.

`detector.Detector` is the sans-I/O protocol core and `membership_view` its state; `messages` and `records` define the
data, `frames` the wire format and `transport` the sockets. `subsystem.Cluster` assembles them for a node. The package
is imported only if the operator's file has a block `cluster`. `docs/membership.md` describes the design,
`docs/operators/cluster.md` the operation."""

from .detector import Answer, Detector, Send
from .membership_view import MembershipEvent, PersistIncarnation
from .records import BadLink, LinkReport, Record, Status

__all__ = [
    "Answer",
    "BadLink",
    "Detector",
    "LinkReport",
    "MembershipEvent",
    "PersistIncarnation",
    "Record",
    "Send",
    "Status",
]
