"""Implements `python -m chutepin admission explain FILE ADDRESS`, which applies admission rules to an address."""

from __future__ import annotations

import click

from ..admission import ConnectionTable
from ..admission.addresses import LOCAL, pack_address
from ..config import ConfigError, load_setup
from ..logs import print_line
from ..reload import build_rules
from .output import show_json, show_table, use_json


@click.group("admission")
def command() -> None:
    """Explain the admission rules for connections."""


@command.command()
@click.argument("file")
@click.argument("address")
@click.option(
    "--limit",
    type=click.IntRange(1),
    default=512,
    show_default=True,
    help="Size of the connection table: half of the descriptors.",
)
@click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")
def explain(file: str, address: str, limit: int, json_requested: bool) -> int:
    """Show which rules of FILE apply to ADDRESS, in their order, and what each allows.

    Trust that an address earns by its requests is known only to a running node."""
    try:
        rules = build_rules(load_setup(file).admission)
    except ConfigError as error:
        print_line(str(error))
        return 2
    packed = pack_address(address)
    if packed == LOCAL:
        print_line(f"ADDRESS: {address} is no address")
        return 2
    explanations = ConnectionTable(rules, limit).explain(0.0, packed)
    if use_json(json_requested):
        show_json(dict(explanations))
    else:
        show_table(file, [{"rule": name, "says": text} for name, text in explanations])
    return 0
