"""The operators' socket: one line a connection, one answer, a close.

`calls.Calls` is the table of what may be asked, `lines.LineReader` the parser, `exposition` the figures as text; none
of them knows a socket. `listener.Listener` is the edge. It imports nothing of the wires and nothing of the core but its
figures. `docs/operation.md` has the design, `docs/operators/operation.md` the use."""

from .calls import Calls
from .listener import Listener

__all__ = ["Calls", "Listener"]
