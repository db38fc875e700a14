"""The base class of this package's errors."""

from __future__ import annotations


class ClusterError(Exception):
    """Data received from another member, or an address that it announces, is invalid."""
