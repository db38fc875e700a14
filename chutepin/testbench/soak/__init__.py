"""A seeded soak: real node processes on loopback through a life of restarts, upgrades, reloads and outages.

`schedule` draws what happens from a seed, `books` keeps what was seen from outside, `checks` says what must hold of the
books, `report` tells of it; these are pure. `standins`, `client` and `play` are the I/O around them."""

from .books import Books
from .checks import Violation, violations
from .play import play
from .report import Report, make_report, write_report
from .schedule import Schedule, draw

__all__ = ["Books", "Report", "Schedule", "Violation", "draw", "make_report", "play", "violations", "write_report"]
