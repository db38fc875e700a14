"""How well an address is known, and what a connection has been used for."""

from __future__ import annotations

from enum import IntEnum


class ClientTrust(IntEnum):
    """How well an address is known. More trust is kept in preference to less."""

    UNTRUSTED = 0
    EARNED = 1  # by its history of valid requests
    LISTED = 2  # by the operator


class ConnectionUsage(IntEnum):
    """What a connection has carried. Connections of the lowest usage are evicted first."""

    NEW = 0  # no valid request yet
    CHECKS = 1  # health checks
    REQUESTS = 2
