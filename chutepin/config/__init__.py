"""Parses and checks the configuration files before anything starts.

`load` reads the platform's JSON, `load_amqp` the queues of the AMQP front, `load_setup` the operator's own file with
one block for each subsystem. Each raises `ConfigError`, whose message is one line that names the field."""

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
