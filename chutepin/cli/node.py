"""Implements `python -m chutepin node`: one node with its options."""

from __future__ import annotations

import click

from ..logs import LogFormat
from ..serve import serve


@click.command("node")
@click.option("--setup", metavar="FILE", help="The operator's file with one block for each subsystem.")
@click.option("--amqp", metavar="FILE", help="Consume the AMQP queues listed in this TOML file.")
@click.option("--read", metavar="FILE", help="Replay the requests of this pcap file, then shut down.")
@click.option("--record", metavar="FILE", help="Record requests and answers in a pcap file.")
@click.option(
    "--log-format",
    type=click.Choice([format.value for format in LogFormat]),
    help="Output format of the log; overrides the operator's file.",
)
def command(setup: str | None, amqp: str | None, read: str | None, record: str | None, log_format: str | None) -> int:
    """Run one node, configured by LB_CONFIG, until SIGTERM."""
    return serve(
        setup=setup, amqp=amqp, read=read, record=record, log_format=LogFormat(log_format) if log_format else None
    )
