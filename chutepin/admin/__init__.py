"""Serves the operators' socket: each connection sends one line, receives one answer and is closed.

`commands.CommandTable` holds the commands, `line_reader.LineReader` parses the line and `exposition` formats the
metrics; these modules do no I/O. `listener.OperatorListener` accepts connections and limits their number.
`docs/operation.md` describes the design, `docs/operators/operation.md` the use."""

from .commands import CommandTable
from .listener import OperatorListener

__all__ = ["CommandTable", "OperatorListener"]
