"""Assembles one node from its parts, runs them, and passes signals and the executor's start on to them."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os
import resource
import signal
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from . import decision, signals
from .admission import AddressSharing
from .broker import Broker
from .clock import Clock
from .config import AmqpConfig, Config, ConfigError, Setup, StoreSetup
from .counters import Counters
from .descriptors import SUCCESSOR, build_budget, count_open_descriptors, successor_reserve
from .handover import (
    HandoverLink,
    HandoverSession,
    HandoverStateMachine,
    IntentFile,
    Rendezvous,
    rendezvous_path,
)
from .handover_host import NodeHandoverHost
from .lifecycle import Event, Lifecycle, State
from .logs import Log, LogFormat
from .loop_timer import LoopTimer
from .memory_budget import divide_memory
from .net.control import Reporter
from .net.executor import ExecutorLink, Session
from .net.records import RecordsService
from .net.resp import RespListener
from .net.resp.listener import SWEEP_INTERVAL_S, max_balancer_connections
from .registry import build_subsystems
from .reload import ConfigurationReload, build_rules
from .shutdown import Shutdown
from .state_log import StateLog

if TYPE_CHECKING:
    from .admin import OperatorListener
    from .net.amqp import Consumer
    from .pcap import Recorder, Source
    from .store import Store

REPLAY_POLL_INTERVAL_S = 0.01  # between checks for the executor's start and for requests that await an answer
SWEEPS_PER_RECONCILIATION = 8  # sweeps from one count of the open descriptors to the next


def _open_store(setup: StoreSetup, clock: Clock, log: Log) -> Store:
    """Open the store.

    Raises ConfigError if the store cannot be opened: a node with a `store` block must not start without its store."""
    from .store import Store, StoreError

    try:
        return Store.open(
            setup.directory,
            segment_bytes=setup.segment,
            max_bytes=setup.max,
            max_memory=setup.memory,
            sync_every=setup.sync_every,
            clock=clock.now,
            event=log.event,
        )
    except StoreError as error:
        raise ConfigError(f"store.directory: {error}") from None


class Node:
    """One node: the broker, its connections and listeners, and the optional subsystems."""

    def __init__(
        self,
        config: Config,
        amqp: AmqpConfig | None = None,
        read: str | None = None,
        record: str | None = None,
        log_format: LogFormat = LogFormat.PLAIN,
        setup: Setup | None = None,
        setup_path: str | None = None,
    ) -> None:
        self.config = config
        self.setup = setup or Setup()
        self.clock = Clock()
        self.counters = Counters()
        self.log = Log(self.clock, log_format)
        self.lifecycle = Lifecycle(self.clock.now())
        self.lifecycle.on_transition = self._on_transition
        # The soft limit of the system caps the number of descriptors that the configuration allows.
        self.sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.descriptors = build_budget(
            self.sockets,
            amqp is not None,
            self.setup.store is not None,
            config.ops is not None,
            self.setup.cluster is not None,
            self.setup.consensus is not None,
        )
        max_connections = max_balancer_connections(self.sockets) + self._max_records_connections
        self.memory = divide_memory(config.memory, max_connections)
        self._session = self._build_session()
        self.executor = ExecutorLink(config.executor, self._session, self.counters, self.log, self.memory.executor)
        self.records = self._build_records()
        self.broker = self._build_broker()
        self.front = self._build_front()
        self.store: Store | None = None
        if self.setup.store is not None:  # the store's modules are imported only if the operator's file has the block
            self.store = _open_store(self.setup.store, self.clock, self.log)
        self.subsystems = build_subsystems(config, self.setup, self.descriptors, self.counters, self.log, self.store)
        self.consumer = self._build_consumer(amqp) if amqp is not None else None
        self.recorder = self._build_recorder(record) if record is not None else None
        self.source = self._build_source(read) if read is not None else None
        directory = os.environ.get("TMPDIR")
        self.handover = self._build_handover(directory, amqp) if directory else None
        self.listener = self._build_listener() if config.ops is not None else None
        self._handover_task: asyncio.Future[None] | None = None
        self._is_serving = False
        self.reporter = Reporter(config.control, config.name, self._ready, self.counters, config.seed)
        self._reload = ConfigurationReload(
            config,
            self.setup,
            setup_path,
            self.executor,
            self.records,
            self.reporter,
            self.front,
            self.counters,
            self.log,
        )
        self._state_log = StateLog(
            self.log, self.counters, self.front, self.descriptors, self.subsystems, self.store, self.consumer
        )
        self.shutdown = Shutdown(
            config,
            self.clock,
            self.log,
            self.lifecycle,
            self.broker,
            self.front,
            self.subsystems,
            self.consumer,
        )

    def _build_session(self) -> Session:
        """Build the executor session, which outlives single connections to the executor."""
        keeps_work = self.config.settings.cancellation is decision.Cancellation.KEEPS_WORK
        return Session(self.clock, self.counters, self.log, keeps_work)

    def _build_records(self) -> RecordsService:
        """Build the connections to the records service."""
        return RecordsService(
            self.config.records,
            self.clock,
            self.counters,
            self.log,
            self._max_records_connections,
            self.descriptors,
            self.memory.records,
        )

    @property
    def _max_records_connections(self) -> int:
        return max(4, self.sockets // 5)

    def _build_broker(self) -> Broker:
        """Build the broker and register it as the listener of the executor, the records service and the timer."""
        timer = LoopTimer(self.clock)
        broker = Broker(
            self.config.settings,
            self.config.seed,
            self.clock,
            self.counters,
            self.log,
            self.executor,
            self.records,
            timer,
            self.memory.keys,
            self.memory.requests,
            self.memory.runs,
        )
        broker.on_started = self._on_executor_started
        timer.broker = broker
        self._session.notices = broker
        self.records.listener = broker
        return broker

    def _build_front(self) -> RespListener:
        """Build the listener that accepts connections of balancers."""
        return RespListener(
            self.broker,
            self.clock,
            self.counters,
            self.log,
            self.sockets,
            build_rules(self.setup.admission),
            self.descriptors,
            self.lifecycle,
            self.memory,
        )

    # The following parts are optional; a module that only one part needs is imported in its build method.

    def _build_listener(self) -> OperatorListener:
        """Build the listener of the operators' socket."""
        from .admin import CommandTable, OperatorListener

        commands = {name: command for subsystem in self.subsystems for name, command in subsystem.commands().items()}
        with_arguments = {
            name: command
            for subsystem in self.subsystems
            for name, command in subsystem.commands_with_arguments().items()
        }
        metrics = self.broker.metrics
        if self.handover is None:
            table = CommandTable(self.lifecycle, metrics, commands, with_arguments)
        else:
            pass_on = self.handover.session.pass_on
            table = CommandTable(self.lifecycle, metrics, commands, with_arguments, pass_on)
        return OperatorListener(table, self.descriptors, self.counters, self.log)

    def _build_consumer(self, amqp: AmqpConfig) -> Consumer:
        """Build the consumer of the AMQP queues."""
        from .net.amqp import Consumer

        return Consumer(
            amqp,
            self.broker,
            self.clock,
            self.counters,
            self.log,
            self.config.seed,
            lambda: self.lifecycle.accepts_work,
        )

    def _build_recorder(self, path: str) -> Recorder:
        """Build the recorder that writes the balancers' traffic to a pcap file."""
        from .pcap import Recorder

        recorder = Recorder(path, self.clock, self.counters, self.config.listen.port)
        self.front.recorder = recorder
        return recorder

    def _build_source(self, path: str) -> Source:
        """Build the source that replays requests from a pcap file."""
        from .pcap import Source

        return Source(path, self.config.listen.port, self.front, self.clock)

    def _build_handover(self, directory: str, amqp: AmqpConfig | None) -> HandoverLink:
        """Build the hand-over between two processes of this node, which connect through a socket in `directory`."""
        config = self.config
        window = max((cls.window for cls in config.settings.classes), default=0.0)
        if amqp is not None:  # the key of a delivery is kept for the redelivery window
            window = max(window, amqp.redelivery_window)
        path = rendezvous_path(directory, config.name, f"{config.listen.host}:{config.listen.port}")
        intent_file = IntentFile(path, self.log)
        host = NodeHandoverHost(
            self.broker,
            self.front,
            self.subsystems,
            self.lifecycle,
            intent_file,
            self.clock,
            self.log,
            config.settings.drain_grace,
            self.descriptors,
            self.sockets,
        )
        session = HandoverSession(host, HandoverStateMachine(window), self.clock, self.counters)
        self.broker.peer = session
        self.broker.keys.replicate = session.replicate
        self.broker.recent_runs.announce = session.run_started
        link = HandoverLink(Rendezvous(path), session, self._listening_sockets, self.clock, self.counters, self.log)
        link.start_serving = self._serve
        if link.has_predecessor:
            self.lifecycle.apply(Event.PREDECESSOR_FOUND)
        else:
            intent_file.remove()
            self.descriptors.reserve(SUCCESSOR, successor_reserve(self.sockets))

        self.lifecycle.on_intent_changed = session.intent_changed
        return link

    def _terminate(self, at: float) -> None:
        """Handle SIGTERM, which came at this Unix time."""
        self.log.event("process.told", word="SIGTERM", at=f"{at:.3f}", state=self.lifecycle.state.value)
        self.shutdown.terminate(at)

    async def run(self) -> int:
        """Serve until a shutdown is requested, drain, and return the exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_error)
        with signals.deliver(
            loop,
            {
                signal.SIGTERM: self._terminate,
                signal.SIGUSR1: lambda at: self._state_log.write_state(),
                signal.SIGHUP: lambda at: self._reload.reload(),
            },
        ):
            return await self._run()

    async def _run(self) -> int:
        if self.handover is None or not self.handover.has_predecessor:
            try:
                await self._serve()
            except OSError as error:
                raise ConfigError(f"listen: {error.strerror or error}") from None
        if self.listener is not None and self.config.ops is not None:
            try:
                await self.listener.listen(self.config.ops.host, self.config.ops.port)
            except OSError as error:
                raise ConfigError(f"ops: {error.strerror or error}") from None
        coroutines: list[Awaitable[None]] = [
            self._restart_on_error(self.executor.run),
            self._restart_on_error(self._sweep),
            self._restart_on_error(self._report),
            *(subsystem.run() for subsystem in self.subsystems),
        ]
        if self.consumer is not None:
            coroutines.append(self._restart_on_error(self.consumer.run))
        if self.source is not None:
            coroutines.append(self._replay_file(self.source))
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        if self.handover is not None:
            self._handover_task = asyncio.ensure_future(self.handover.run())
            tasks.append(self._handover_task)
        self.broker.tick()
        await self.shutdown.run()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.recorder is not None:
            self.front.close_finished_replays()
            self.recorder.close()
        self._state_log.write_counters()
        self._close_store()
        return 0

    def _close_store(self) -> None:
        if self.store is None:
            return
        from .store import StoreError

        try:
            self.store.close()
        except StoreError as error:
            self.log.always("store.close_failed", why=str(error))

    async def _replay_file(self, source: Source) -> None:
        """Replay a pcap file once the executor has started, then request the shutdown."""
        while not self.broker.started:
            await asyncio.sleep(REPLAY_POLL_INTERVAL_S)
        await source.run()
        self.log.event("pcap.read", **dataclasses.asdict(source.report))
        while self.broker.awaiting_response_count:
            await asyncio.sleep(REPLAY_POLL_INTERVAL_S)
        self.shutdown.terminate(self.clock.now())

    def _on_transition(self, cause: Event, previous: State) -> None:
        """Log a change of the process's state with its cause and the Unix time, and shut down if the process ends."""
        self.log.event(
            "process.state",
            cause=cause.value,
            before=previous.value,
            after=self.lifecycle.state.value,
            at=f"{self.clock.now():.3f}",
        )
        if self.lifecycle.behaviour.is_ending:
            self.shutdown.request()
            if previous in (State.STANDBY, State.STANDBY_DRAINED) and self._handover_task is not None:
                self._handover_task.cancel()  # a process that ends must not take over

    def _on_executor_started(self) -> None:
        """Pass the start of the executor on to the hand-over and the lifecycle."""
        if self.handover is not None:
            self.handover.session.executor_ready()
        if self._is_serving:
            self.lifecycle.apply(Event.CAN_SERVE)

    async def _serve(self) -> None:
        """Accept connections of balancers, on the sockets that a predecessor passed if there are any.

        Raises OSError only if no predecessor serves. Beside a predecessor a failure to listen is logged, and the
        hand-over calls this method again."""
        sockets = self.handover.sockets if self.handover is not None else []
        for subsystem in self.subsystems:
            sockets[:] = subsystem.adopt(sockets)
        sockets[:] = self._client_sockets(sockets)
        if sockets:
            self.front.adopt(sockets)
            sockets.clear()
        elif not self.front.listeners and self.handover is not None and self.handover.has_predecessor:
            try:
                await self.front.listen(self.config.listen, AddressSharing.ACTIVE)
            except OSError as error:
                self.log.event("listen.failed", why=error.strerror or str(error))
                return
        elif not self.front.listeners:
            await self.front.listen(
                self.config.listen, AddressSharing.PLANNED if self.handover is not None else AddressSharing.NONE
            )
        if not self._is_serving:
            self._is_serving = True
            self.log.event(
                "serving", name=self.config.name, listen=f"{self.config.listen.host}:{self.config.listen.port}"
            )
            self.lifecycle.apply(Event.ACCEPTING)
            for subsystem in self.subsystems:
                subsystem.start()
        if self.broker.started:
            self.lifecycle.apply(Event.CAN_SERVE)

    def _listening_sockets(self) -> list[socket.socket]:
        """Return the listening sockets to pass to a successor."""
        return self.front.listeners + [sock for subsystem in self.subsystems for sock in subsystem.sockets()]

    def _client_sockets(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Return the sockets of a predecessor that listen for balancers, and close the others.

        The others belong to subsystems that are disabled in this process."""
        port, client_sockets = self.config.listen.port, []
        for sock in sockets:
            if sock.type == socket.SOCK_STREAM and sock.getsockname()[1] == port:
                client_sockets.append(sock)
            else:
                sock.close()
        return client_sockets

    async def _report(self) -> None:
        """Report to the control plane once this process serves.

        The control plane combines the reports of all processes of a node, so a process must not report earlier."""
        while not self._is_serving:
            await asyncio.sleep(SWEEP_INTERVAL_S / 5)
        await self.reporter.run()

    def _ready(self) -> bool:
        return self.front.healthy

    def _log_error(self, _: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """Count and log an unhandled error of the event loop, so that an error in one connection ends no other."""
        self.counters.add("errors")
        self.log.event("error", message=str(context.get("message")), error=repr(context.get("exception")))

    async def _restart_on_error(self, run_task: Callable[[], Awaitable[None]]) -> None:
        """Restart a task of the node that ended with an error.

        Without the restart the process would go on without that task and still appear to be running."""
        while True:
            try:
                return await run_task()
            except Exception as error:  # noqa: BLE001  any error is counted and logged
                self.counters.add("errors")
                self.log.event("error", message="restarting a task of the node after an error", error=repr(error))
            await asyncio.sleep(SWEEP_INTERVAL_S)

    async def _sweep(self) -> None:
        consecutive_overruns = 0
        for sweep in itertools.count():
            if sweep % SWEEPS_PER_RECONCILIATION == 0 and (open_count := count_open_descriptors()) is not None:
                # A single mismatch may be a descriptor that is claimed but not opened yet.
                consecutive_overruns = consecutive_overruns + 1 if self.descriptors.reconcile(open_count) else 0
                self.counters.check_invariant(consecutive_overruns < 3, "ledger")
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.front.close_idle()
            self.front.close_finished_replays()
            self.records.close_idle()
