"""Checks single values of the platform's file and of all blocks of the operator's file.

A check takes a value of the document and the name of its field, and returns the value converted to the base unit. The
check raises `ConfigError` with one line that names the field."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

TIME = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}  # in seconds
SIZE = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}  # in bytes
RATE = {"per-s": 1.0, "per-min": 1 / 60}  # events a second
SHARE = {"%": 0.01}
MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class ConfigError(ValueError):
    """An error in the configuration; the message is one line that names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and port to listen on or connect to."""

    host: str
    port: int


Check = Callable[[Any, str], Any]  # (value in the document, field name) -> converted value


@dataclass(frozen=True, slots=True)
class OneOrMore:
    """A check of a setting that takes one or more values."""

    check: Check


def quantity(units: Mapping[str, float], minimum: float, maximum: float) -> Check:
    """Return a check for a number with one of these units; the bounds are in the base unit."""

    def check(raw: Any, name: str) -> float:
        unit, value = getattr(raw, "type_annotation", None), getattr(raw, "value", raw)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ConfigError(f"{name}: not a number")
        if unit is None:
            raise ConfigError(
                f"{name}: {value} states no unit; write ({next(iter(units))}){value} or another of " + ", ".join(units)
            )
        if unit not in units:
            raise ConfigError(f"{name}: unknown unit {unit}; known are {', '.join(units)}")
        if not minimum <= value * units[unit] <= maximum:
            raise ConfigError(f"{name}: ({unit}){value} is out of range")
        return value * units[unit]

    return check


def size(minimum: int, maximum: int) -> Check:
    """Return a check for a number of bytes."""
    check_quantity = quantity(SIZE, minimum, maximum)
    return lambda raw, name: int(check_quantity(raw, name))


def count(unit: str, minimum: int, maximum: int) -> Check:
    """Return a check for an integer count; the unit names the counted items."""
    check_quantity = quantity({unit: 1}, minimum, maximum)

    def check(raw: Any, name: str) -> int:
        value = check_quantity(raw, name)
        if value != int(value):
            raise ConfigError(f"{name}: ({unit}){value} is no whole number")
        return int(value)

    return check


def network(raw: Any, name: str) -> str:
    """Check an IP address, or a network as address/bits, and return the network."""
    try:
        return str(ipaddress.ip_network(text(raw, name)))
    except ValueError as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{name}: {error}") from None


def address(raw: Any, field: str) -> Address:
    """Check an address of the form host:port with both parts present, and return the address."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not is_port(port):
        raise ConfigError(f"{field}: not an address of the form host:port")
    return Address(host, int(port))


def is_port(port: str) -> bool:
    """Return whether a text is a port number in ASCII digits."""
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_number and 0 < int(port) <= MAX_PORT


def text(raw: Any, name: str) -> str:
    """Check that a value is a non-empty text, and return the text."""
    if not isinstance(raw, str) or not raw:
        raise ConfigError(f"{name}: missing or not a text")
    return raw


def choice(*known: str) -> Check:
    """Return a check for one of the words `known`."""

    def check(raw: Any, name: str) -> str:
        if raw not in known:
            raise ConfigError(f"{name}: not one of {', '.join(known)}")
        return str(raw)

    return check
