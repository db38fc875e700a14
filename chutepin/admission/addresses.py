"""Packed addresses, their address blocks, and sets of networks. No I/O."""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Iterable

LOCAL = b""  # stands for a peer without an IP address, such as on a Unix socket
_MAPPED = bytes(10) + b"\xff\xff"  # prefix of an IPv4 address mapped into IPv6


def pack_address(text: str) -> bytes:
    """Return the 4 or 16 bytes of an address in text form. An IPv4-mapped IPv6 address is returned as IPv4."""
    text = text.partition("%")[0]
    try:
        packed = socket.inet_pton(socket.AF_INET6 if ":" in text else socket.AF_INET, text)
    except OSError:
        return LOCAL
    return packed[12:] if packed.startswith(_MAPPED) else packed


def format_address(address: bytes) -> str:
    """Return the text form of a packed address."""
    return str(ipaddress.ip_address(address)) if address else "local"


def address_block(address: bytes, v4: int, v6: int) -> bytes:
    """Return the block of an address: a byte for the family, then the first `v4` or `v6` bits of the address."""
    bits = v4 if len(address) == 4 else v6
    full_bytes, remaining_bits = divmod(bits, 8)
    prefix = address[:full_bytes]
    if remaining_bits and full_bytes < len(address):
        prefix += bytes([address[full_bytes] & 0xFF << 8 - remaining_bits & 0xFF])
    return bytes([len(address)]) + prefix


def format_block(block: bytes, v4: int, v6: int) -> str:
    """Return the text form of a block, as a network prefix."""
    if not block or not block[0]:
        return "local"
    size = block[0]
    address = block[1:].ljust(size, b"\0")
    return f"{ipaddress.ip_address(address)}/{v4 if size == 4 else v6}"


class Networks:
    """A set of networks. A look-up takes one step per distinct prefix length, at most 162."""

    def __init__(self, networks: Iterable[str] = ()) -> None:
        self._by_length: dict[tuple[int, int], set[bytes]] = {}
        for text in networks:
            network = ipaddress.ip_network(text)
            packed, bits = network.network_address.packed, network.prefixlen
            self._by_length.setdefault((len(packed), bits), set()).add(address_block(packed, bits, bits))

    def __contains__(self, address: bytes) -> bool:
        return any(
            size == len(address) and address_block(address, bits, bits) in networks
            for (size, bits), networks in self._by_length.items()
        )
