"""Two processes of one node during an upgrade: how they find each other, who accepts, who owns the keys, who has what
room, and what becomes of all that when one of them stalls or dies.

`succession.Succession` decides, `dialogue.Dialogue` says and hears, `frames` is the codec, all without I/O;
`link.Handover` is the edge. The core is known through the port `Host`, keys through `chutepin.idempotency`, no wire at
all.
`docs/operation.md` has the design and the table of cases."""

from .dialogue import Dialogue, Host
from .link import Handover, meeting_place
from .succession import Stage, Succession

__all__ = ["Dialogue", "Handover", "Host", "Stage", "Succession", "meeting_place"]
