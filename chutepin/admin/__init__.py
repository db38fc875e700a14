"""The operators' socket: one line a connection, one answer, a close.

`commands.CommandTable` has the commands, `line_reader.LineReader` the parser, `exposition` the metrics as text; none of
them knows a socket. `listener.OperatorListener` accepts and bounds callers. `docs/operation.md` has the design,
`docs/operators/operation.md` the use."""

from .commands import CommandTable
from .listener import OperatorListener

__all__ = ["CommandTable", "OperatorListener"]
