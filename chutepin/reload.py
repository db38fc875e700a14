"""Reads the configuration files again while a node serves, and applies what may change."""

from __future__ import annotations

import dataclasses

from .admission import Rules
from .admission.addresses import Networks
from .config import AdmissionSetup, Config, ConfigError, Setup, load, load_setup
from .counters import Counters
from .logs import Log
from .net.control import Reporter
from .net.executor import ExecutorLink
from .net.records import RecordsService
from .net.resp import RespListener


def build_rules(setup: AdmissionSetup) -> Rules:
    """Build the admission rules from the `admission` block of the operator's file."""
    values = {field.name: getattr(setup, field.name) for field in dataclasses.fields(setup)}
    return Rules(**values | {"known": Networks(setup.known), "relays": Networks(setup.relays)})


class ConfigurationReload:
    """The configuration in force, and its replacement from the files.

    A whole file is checked before any setting is replaced, so a half-written or invalid file leaves a serving node
    unchanged."""

    def __init__(
        self,
        config: Config,
        setup: Setup,
        setup_path: str | None,
        executor: ExecutorLink,
        records: RecordsService,
        reporter: Reporter,
        front: RespListener,
        counters: Counters,
        log: Log,
    ) -> None:
        """Begin with the configuration of the start. `setup_path`: the operator's file, None without one."""
        self._config = config
        self._setup = setup
        self._setup_path = setup_path
        self._executor = executor
        self._records = records
        self._reporter = reporter
        self._front = front
        self._counters = counters
        self._log = log

    def reload(self) -> None:
        """Read the files again: move to the new addresses and apply the admission rules."""
        try:
            config = load()
        except ConfigError as error:
            self._reject(error)
            return
        self._move(config)
        self._reload_setup()

    def _move(self, config: Config) -> None:
        """Move to the configuration's addresses of executor, records service and control plane."""
        reloaded = dataclasses.replace(
            self._config, executor=config.executor, records=config.records, control=config.control
        )
        if reloaded != config:
            ignored_fields = [
                field.name
                for field in dataclasses.fields(reloaded)
                if getattr(reloaded, field.name) != getattr(config, field.name)
            ]
            self._log.event("reload.only_addresses", ignored=",".join(ignored_fields))
        self._config = reloaded
        self._executor.move(config.executor)
        self._records.move(config.records)
        self._reporter.move(config.control)
        self._counters.add("reloads")

    def _reload_setup(self) -> None:
        """Apply the admission rules of the operator's file; its other blocks take effect at the next start."""
        if self._setup_path is None:
            return
        try:
            setup = load_setup(self._setup_path)
        except ConfigError as error:
            self._reject(error)
            return
        if dataclasses.replace(self._setup, admission=setup.admission) != setup:
            self._log.event("reload.only_admission", file=self._setup_path)
        if setup.admission != self._setup.admission:
            self._front.apply(build_rules(setup.admission))
        self._setup = dataclasses.replace(self._setup, admission=setup.admission)

    def _reject(self, error: ConfigError) -> None:
        self._counters.add("reloads.bad")
        self._log.event("reload.rejected", why=str(error))
