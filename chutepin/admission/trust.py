"""Levels of client trust and of connection usage."""

from __future__ import annotations

from enum import IntEnum


class ClientTrust(IntEnum):
    """The trust of an address. Connections of lower trust are evicted first."""

    UNTRUSTED = 0
    EARNED = 1  # by a history of valid requests
    LISTED = 2  # listed by the operator


class ConnectionUsage(IntEnum):
    """The messages that a connection has carried. Connections of lower usage are evicted first."""

    NEW = 0  # has sent no valid request
    CHECKS = 1  # carries health checks
    REQUESTS = 2
