"""Runs one node from its configuration files and maps the outcome to an exit code."""

from __future__ import annotations

import asyncio

from . import signals
from .config import ConfigError, Setup, load, load_amqp, load_setup
from .logs import LogFormat, print_line
from .node import Node


def serve(
    *,
    setup: str | None = None,
    amqp: str | None = None,
    read: str | None = None,
    record: str | None = None,
    log_format: LogFormat | None = None,
) -> int:
    """Run a node until a shutdown is requested and return the exit code.

    `setup` is the path of the operator's file, `amqp` that of the AMQP queues, `read` a pcap file to replay requests
    from and `record` a pcap file to write. Exit codes: 0 after a drain, 2 for invalid configuration, which is printed
    as one line, and 130 when interrupted."""
    signals.install_handlers()
    try:
        config = load()
        operator = load_setup(setup) if setup else Setup()
        queues = load_amqp(amqp, config.settings) if amqp else None
        node = Node(config, queues, read, record, log_format or operator.log.format, operator, setup)
        return asyncio.run(node.run())
    except ConfigError as error:
        print_line(str(error))
        return 2
    except KeyboardInterrupt:
        print_line("interrupted")
        return 130
    finally:
        signals.ignore()
