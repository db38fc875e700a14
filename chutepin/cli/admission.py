"""`python -m chutepin admission explain FILE ADDRESS`: what the rules of an operator's file mean for an address."""

from __future__ import annotations

import click

from ..admission import ConnectionTable
from ..admission.addresses import LOCAL, pack_address
from ..config import ConfigError, load_setup
from ..logs import print_line
from ..node import build_rules
from .output import as_json, show_json, show_table


@click.group("admission")
def command() -> None:
    """Who may connect."""


@command.command()
@click.argument("file")
@click.argument("address")
@click.option(
    "--limit",
    type=click.IntRange(1),
    default=512,
    show_default=True,
    help="Connections in the table: half of the descriptors.",
)
@click.option("--json", "json_asked", is_flag=True, help="Print JSON also on a terminal.")
def explain(file: str, address: str, limit: int, json_asked: bool) -> int:
    """Which rules of FILE an ADDRESS meets, in their order, and what each allows it.

    Standing that is earned shows only in a node."""
    try:
        rules = build_rules(load_setup(file).admission)
    except ConfigError as error:
        print_line(str(error))
        return 2
    packed = pack_address(address)
    if packed == LOCAL:
        print_line(f"ADDRESS: {address} is no address")
        return 2
    met = ConnectionTable(rules, limit).explain(0.0, packed)
    if as_json(json_asked):
        show_json(dict(met))
    else:
        show_table(file, [{"rule": name, "says": text} for name, text in met])
    return 0
