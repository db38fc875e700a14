"""The table of keys: which try of a keyed request has it, which one ran, what came of it. No I/O; time is an argument.

`Table` is one process's copy. Where two processes are one node, each change is told to the other by `told`, and
`learn` takes in what the other tells; who may claim a key is not decided here (`chutepin.handover`)."""

from .table import KEY_GRACE, KEY_SLACK, Entry, Table
from .twin import Single, Standing, Twin

__all__ = ["KEY_GRACE", "KEY_SLACK", "Entry", "Single", "Standing", "Table", "Twin"]
