"""Checks the block `cluster` of the operator's file. Imported only if the file has the block."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .checks import TIME, Address, Check, ConfigError, OneOrMore, address, count, quantity, text

MAX_NAME_LENGTH = 64


@dataclass(frozen=True, slots=True)
class ClusterSetup:
    """The node's name and place in the cluster, and the timing of failure detection in seconds."""

    name: str
    region: str
    zone: str
    listen: Address  # UDP and TCP; announced to the other members
    seeds: tuple[tuple[str, str], ...] = ()  # (member, address) pairs to join through
    reach: tuple[tuple[str, str], ...] = ()  # (member, address) pairs dialled in place of the announced address
    probe_every: float = 0.5
    probe_timeout: float = 0.2  # for the direct acknowledgement; indirect probes have until the next probe
    helpers: int = 3
    gossip_every: float = 0.1
    gossip_to: int = 3
    suspect_least: float = 1.2  # timeout with all confirmations; grows with the logarithm of the member count
    suspect_most: int = 6  # multiple of suspect_least that applies without any confirmation
    alone: float = 15.0  # time during which a member that gets no answers declares no other member dead
    link_every: float = 2.0  # between two checks of a bad link
    sync_every: float = 5.0  # between two state exchanges while membership views differ
    join_every: float = 1.0  # between two attempts to contact a seed or a dead member
    remember: float = 86400.0  # retention of dead members
    members: int = 1024  # limit of known names, departed members included


def _parse_name(raw: Any, name: str) -> str:
    value = text(raw, name)
    if len(value) > MAX_NAME_LENGTH or " " in value or "=" in value or not value.isprintable():
        raise ConfigError(f"{name}: not a word of up to {MAX_NAME_LENGTH} characters")
    return value


def _parse_listen_address(raw: Any, name: str) -> Address:
    """Check an IP address and port, and return the address.

    A host name is rejected because resolving the name would block the event loop."""
    found = address(raw, name)
    try:
        if ipaddress.ip_address(found.host.strip("[]")).is_unspecified:
            raise ConfigError(f"{name}: {found.host} is no address that others could dial")
    except ValueError as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{name}: {found.host} is not an IP address") from None
    return found


def _parse_peer(raw: Any, name: str) -> tuple[str, str]:
    """Check a text of the form member=host:port, and return the member's name and address."""
    member, equals, member_address = text(raw, name).partition("=")
    if not equals:
        raise ConfigError(f"{name}: {raw} is not of the form member=host:port")
    found = _parse_listen_address(member_address, name)
    return _parse_name(member, name), f"{found.host}:{found.port}"


CHECKS: Mapping[str, Check | OneOrMore] = {
    "name": _parse_name,
    "region": _parse_name,
    "zone": _parse_name,
    "listen": _parse_listen_address,
    "seeds": OneOrMore(_parse_peer),
    "reach": OneOrMore(_parse_peer),
    "probe-every": quantity(TIME, 0.05, 60.0),
    "probe-timeout": quantity(TIME, 0.01, 30.0),
    "helpers": count("members", 1, 16),
    "gossip-every": quantity(TIME, 0.01, 10.0),
    "gossip-to": count("members", 1, 16),
    "suspect-least": quantity(TIME, 0.1, 300.0),
    "suspect-most": count("times", 1, 100),
    "alone": quantity(TIME, 0.1, 3600.0),
    "link-every": quantity(TIME, 0.1, 300.0),
    "sync-every": quantity(TIME, 0.1, 3600.0),
    "join-every": quantity(TIME, 0.05, 300.0),
    "remember": quantity(TIME, 1.0, 30 * 86400.0),
    "members": count("members", 2, 8192),
}


def build_setup(values: dict[str, Any]) -> ClusterSetup:
    """Check the values of the block against each other and return the setup. Raises ConfigError."""
    for name in ("name", "region", "zone", "listen"):
        if name not in values:
            raise ConfigError(f"cluster.{name}: missing")
    setup = ClusterSetup(**{name.replace("-", "_"): value for name, value in values.items()})
    if setup.probe_timeout * 2 > setup.probe_every:
        raise ConfigError("cluster.probe-timeout: more than half of cluster.probe-every")
    for field in ("seeds", "reach"):
        names = [member for member, _ in getattr(setup, field)]
        if len(names) != len(set(names)):
            raise ConfigError(f"cluster.{field}: a member stands there twice")
    return setup
