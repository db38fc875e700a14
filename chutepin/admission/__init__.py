"""Connection admission: rate limits, caps, a reserve for trusted clients, and eviction.

New connections are judged by address and by block of addresses; where the table or the process's file descriptors
are full, the least useful connection makes room.

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
