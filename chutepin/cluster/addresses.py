"""Addresses that members announce and dial."""

from __future__ import annotations

import ipaddress

from .errors import ClusterError


class AddressError(ClusterError):
    """An announced address is not an IP address with a port."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address. Raises AddressError.

    Host names are rejected, as a DNS lookup would block the event loop."""
    host, _, port = address.rpartition(":")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError as error:
        raise AddressError(f"{address!r} is not an IP address with a port: {error}") from error
