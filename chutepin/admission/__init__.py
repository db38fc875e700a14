"""Connection admission: rate limits and caps for addresses and blocks of them, a reserve for trusted clients, and
eviction when the table or the process's file descriptors are full.

`table.ConnectionTable` decides and `descriptor_budget.DescriptorBudget` divides the descriptors, both without I/O;
`acceptor.Acceptor` accepts. The package knows nothing of what is sent on a connection. `docs/admission.md` has the
design, `docs/operators/admission.md` the settings."""

from .acceptor import MAX_CLOSING, AcceptDecision, Acceptor, AddressSharing
from .deadlines import Deadlines
from .descriptor_budget import DescriptorBudget
from .proxy import ProxyError, ProxyHead
from .rules import AdmissionResult, RejectionReason, Rules
from .table import ConnectionTable
from .trust import ClientTrust, ConnectionUsage

__all__ = [
    "MAX_CLOSING",
    "AcceptDecision",
    "Acceptor",
    "AddressSharing",
    "AdmissionResult",
    "ClientTrust",
    "ConnectionTable",
    "ConnectionUsage",
    "Deadlines",
    "DescriptorBudget",
    "ProxyError",
    "ProxyHead",
    "RejectionReason",
    "Rules",
]
