"""Classes of requests in memory: settings and decision module with so many classes, in a fresh process each."""

from __future__ import annotations

from .tenants import probed
from .tools import Measured

SIZES = (100, 400, 1_600, 6_400)


def run() -> Measured:
    """The part."""
    return probed("classes", SIZES)
