"""A seeded soak: node processes on loopback under restarts, upgrades, reloads and outages.

`schedule` draws the events from a seed, `books` holds the observations, `checks` defines the invariants on them and
`report` formats the violations; these do no I/O of the soak. `standins`, `client` and `play` do the I/O."""

from .books import Observations
from .checks import Violation, violations
from .play import play
from .report import Report, make_report, write_report
from .schedule import Schedule, draw

__all__ = [
    "Observations",
    "Report",
    "Schedule",
    "Violation",
    "draw",
    "make_report",
    "play",
    "violations",
    "write_report",
]
