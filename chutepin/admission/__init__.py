"""Who may connect: rules for addresses and blocks of them, a reserve for known clients, and what becomes of newcomers
when the table or the process's descriptors are full.

`rules.Table` decides and `descriptor_budget.DescriptorBudget` shares out descriptors, both without I/O;
`acceptor.Acceptor` accepts. It knows nothing of what is spoken on a connection. `docs/admission.md` has the design,
`docs/operators/admission.md` the settings."""

from .acceptor import CLOSING_AT_ONCE, Acceptor, Share, Welcome
from .deadlines import Deadlines
from .descriptor_budget import DescriptorBudget
from .proxy import ProxyError, ProxyHead
from .rules import Rank, Reason, Rules, Table, Use, Verdict

__all__ = [
    "CLOSING_AT_ONCE",
    "Acceptor",
    "Deadlines",
    "DescriptorBudget",
    "ProxyError",
    "ProxyHead",
    "Rank",
    "Reason",
    "Rules",
    "Share",
    "Table",
    "Use",
    "Verdict",
    "Welcome",
]
