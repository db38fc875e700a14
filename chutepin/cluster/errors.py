"""The base class of this package's errors."""

from __future__ import annotations


class ClusterError(Exception):
    """Something received or announced by another member can't be used."""
