"""Addresses as the rules see them: packed bytes, the block each belongs to, and sets of networks. Pure."""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Iterable

LOCAL = b""  # the address of a peer that has none, such as one on a Unix socket
_MAPPED = bytes(10) + b"\xff\xff"  # before an IPv4 address that came over IPv6


def pack(text: str) -> bytes:
    """4 or 16 bytes of an address as the system writes it; an IPv4 address inside an IPv6 one is the former."""
    text = text.partition("%")[0]
    try:
        packed = socket.inet_pton(socket.AF_INET6 if ":" in text else socket.AF_INET, text)
    except OSError:
        return LOCAL
    return packed[12:] if packed.startswith(_MAPPED) else packed


def show(address: bytes) -> str:
    """The address as people write it."""
    return str(ipaddress.ip_address(address)) if address else "local"


def block(address: bytes, v4: int, v6: int) -> bytes:
    """The first `v4` or `v6` bits of an address, with its family in front: what its neighbours share."""
    bits = v4 if len(address) == 4 else v6
    whole, part = divmod(bits, 8)
    head = address[:whole]
    if part and whole < len(address):
        head += bytes([address[whole] & 0xFF << 8 - part & 0xFF])
    return bytes([len(address)]) + head


def show_block(name: bytes, v4: int, v6: int) -> str:
    """A block as people write it."""
    if not name or not name[0]:
        return "local"
    address = name[1:].ljust(name[0], b"\0")
    return f"{ipaddress.ip_address(address)}/{v4 if name[0] == 4 else v6}"


class Networks:
    """A set of networks. A look-up costs one step for each prefix length in it, 162 at most."""

    def __init__(self, networks: Iterable[str] = ()) -> None:
        self._by_length: dict[tuple[int, int], set[bytes]] = {}
        for text in networks:
            network = ipaddress.ip_network(text)
            packed, bits = network.network_address.packed, network.prefixlen
            self._by_length.setdefault((len(packed), bits), set()).add(block(packed, bits, bits))

    def __contains__(self, address: bytes) -> bool:
        return any(
            size == len(address) and block(address, bits, bits) in known
            for (size, bits), known in self._by_length.items()
        )
