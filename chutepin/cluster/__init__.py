"""Membership: which nodes there are, who has gone, which links between them are bad.

`detector.Detector` decides, without clock, socket or randomness of its own; `membership_view` holds its state, `frames`
is the wire format,
`transport` the edge, `subsystem.Cluster` puts them together for a node. Loaded only where the operator's file has a
block `cluster`. `docs/membership.md` has the design, `docs/operators/cluster.md` the use."""

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
