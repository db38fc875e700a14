"""Connection admission: rate limits, caps, a reserve for trusted clients, and eviction.

Rules apply to the address of a new connection and to its address block. If the connection table or the process's file
descriptors are exhausted, the least valuable connection is evicted.

`table.ConnectionTable` applies the rules and `descriptor_budget.DescriptorBudget` divides the descriptors, both without
I/O; `acceptor.Acceptor` accepts connections. The package is independent of the protocol on a connection.
`docs/admission.md` describes the design, `docs/operators/admission.md` the settings."""

from .acceptor import MAX_CLOSING, AcceptDecision, Acceptor, AddressSharing
from .deadlines import Deadlines
from .descriptor_budget import DescriptorBudget
from .proxy import ProxyError, ProxyHeaderParser
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
    "ProxyHeaderParser",
    "RejectionReason",
    "Rules",
]
