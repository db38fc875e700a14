"""Connection admission: rate limits and caps for addresses and blocks of them, a reserve for trusted clients, and
eviction when the table or the process's file descriptors are full.

`table.Table` decides and `descriptor_budget.DescriptorBudget` divides the descriptors, both without I/O;
`acceptor.Acceptor` accepts. The package knows nothing of what is sent on a connection. `docs/admission.md` has the
design, `docs/operators/admission.md` the settings."""

from .acceptor import CLOSING_AT_ONCE, Acceptor, Share, Welcome
from .deadlines import Deadlines
from .descriptor_budget import DescriptorBudget
from .proxy import ProxyError, ProxyHead
from .rules import Reason, Rules, Verdict
from .table import Table
from .trust import ClientTrust, ConnectionUsage

Use = ConnectionUsage  # the name that `net` and its tests still import

__all__ = [
    "CLOSING_AT_ONCE",
    "Acceptor",
    "ClientTrust",
    "ConnectionUsage",
    "Deadlines",
    "DescriptorBudget",
    "ProxyError",
    "ProxyHead",
    "Reason",
    "Rules",
    "Share",
    "Table",
    "Use",
    "Verdict",
    "Welcome",
]
