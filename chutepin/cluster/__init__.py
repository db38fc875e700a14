"""Cluster membership by SWIM and Lifeguard: which nodes are alive, which have departed, which links are bad.

`detector.Detector` decides, without clock, socket or randomness of its own; `membership_view` holds what it knows,
`messages` and `records` are its data, `frames` the wire format, `transport` the sockets, and `subsystem.Cluster` puts
them together for a node. Imported only where the operator's file has a block `cluster`. `docs/membership.md` has the
design, `docs/operators/cluster.md` the use."""

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
