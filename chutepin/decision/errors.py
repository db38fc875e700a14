"""Errors of the decision package."""

from __future__ import annotations


class DecisionError(Exception):
    """Base of all errors of this package."""


class SettingsError(DecisionError):
    """Settings that contradict themselves; the message names the field."""


class UsageError(DecisionError):
    """The host broke the contract: an unknown class, a request id given twice, or time running backwards."""
