"""Errors of the decision package."""

from __future__ import annotations


class DecisionError(Exception):
    """Base class of all errors of this package."""


class SettingsError(DecisionError):
    """Invalid or contradictory settings; the message begins with the name of the field."""


class UsageError(DecisionError):
    """Misuse by the host: an unknown class, a duplicate request id, or a time before that of the last batch."""
