"""Membership: which nodes there are, who has gone, which links between them are bad.

`detector.Detector` decides, free of clock, socket and chance; `view` holds what is believed, `frames` is the wire,
`transport` the edge, `subsystem.Cluster` puts them together for a node. Loaded only where the operator's file has a
block `cluster`. `docs/membership.md` has the design, `docs/operators/cluster.md` the use."""

from .detector import Answer, Detector, Send
from .records import BadLink, Links, Record, Status
from .view import Persist, Tell

__all__ = ["Answer", "BadLink", "Detector", "Links", "Persist", "Record", "Send", "Status", "Tell"]
