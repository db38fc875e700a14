"""Parses and checks the configuration files before the node starts.

`load` reads the platform's JSON, `load_amqp` the TOML file of the AMQP queues, and `load_setup` the operator's KDL file
with one block for each subsystem. Each raises `ConfigError`, whose message is one line that names the field."""

from .checks import Address, ConfigError
from .operator import AdmissionSetup, LogSetup, Setup, StoreSetup, load_setup, parse_setup
from .platform import (
    AmqpConfig,
    Config,
    QueueConfig,
    load,
    load_amqp,
    parse,
    parse_amqp,
)

__all__ = [
    "Address",
    "AdmissionSetup",
    "AmqpConfig",
    "Config",
    "ConfigError",
    "LogSetup",
    "QueueConfig",
    "Setup",
    "StoreSetup",
    "load",
    "load_amqp",
    "load_setup",
    "parse",
    "parse_amqp",
    "parse_setup",
]
