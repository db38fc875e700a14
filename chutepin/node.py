"""One node: its parts put together, served, reloaded and drained."""

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
from .admission import AddressSharing, Rules
from .admission.addresses import Networks
from .broker import Broker
from .clock import Clock
from .config import AdmissionSetup, AmqpConfig, Config, ConfigError, Setup, StoreSetup, load, load_setup
from .counters import Counters
from .descriptors import build_budget, count_open_descriptors
from .handover import HandoverLink, HandoverSession, HandoverStateMachine, Rendezvous, rendezvous_path
from .handover_host import NodeHandoverHost
from .lifecycle import Lifecycle, Transition
from .logs import Log, LogFormat
from .loop_timer import LoopTimer
from .net.control import Reporter
from .net.executor import ExecutorLink, Session
from .net.records import RecordsService
from .net.resp import RespListener
from .net.resp.listener import SWEEP_INTERVAL_S
from .registry import build_subsystems

if TYPE_CHECKING:
    from .admin import OperatorListener
    from .net.amqp import Consumer
    from .pcap import Recorder, Source
    from .store import Store

STOP_MARGIN_S = 0.15  # before the process is stopped, by when everything is answered
MAX_DEADLINE_S = 3.0  # of the longest deadline, what counts for the end after a hand-over
FINISH_MARGIN_S = 0.7  # between that deadline and the stop after a hand-over
POLL_INTERVAL_S = 0.01  # between looks at whether everything is answered
MAX_TOP_ADDRESSES = 10  # addresses and blocks that SIGUSR1 names
SWEEPS_PER_RECONCILIATION = 8  # between counts of the descriptors that the process holds


def rules_of(setup: AdmissionSetup) -> Rules:
    """Build the admission rules from the operator's block."""
    values = {field.name: getattr(setup, field.name) for field in dataclasses.fields(setup)}
    return Rules(**values | {"known": Networks(setup.known), "relays": Networks(setup.relays)})


def _open_store(setup: StoreSetup, clock: Clock, log: Log) -> Store:
    """Open the store. Raises ConfigError where it can't be: the node must not start without it."""
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
    """The parts of one node, put together."""

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
        self._setup_path = setup_path
        self.clock = Clock()
        self.counters = Counters()
        self.lifecycle = Lifecycle()
        self.log = Log(self.clock, log_format)
        # Descriptors that the process may really have, whatever the configuration allows.
        self.sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.descriptors = build_budget(
            self.sockets,
            amqp is not None,
            self.setup.store is not None,
            config.ops is not None,
            self.setup.cluster is not None,
            self.setup.consensus is not None,
        )
        self._session = self._build_session()
        self.executor = ExecutorLink(config.executor, self._session, self.counters, self.log)
        self.records = self._build_records()
        self.broker = self._build_broker()
        self.front = self._build_front()
        self.store: Store | None = None
        if self.setup.store is not None:  # loaded only where an operator switches it on
            self.store = _open_store(self.setup.store, self.clock, self.log)
        self.subsystems = build_subsystems(config, self.setup, self.descriptors, self.counters, self.log, self.store)
        self.listener = self._build_listener() if config.ops is not None else None
        self.consumer = self._build_consumer(amqp) if amqp is not None else None
        self.recorder = self._build_recorder(record) if record is not None else None
        self.source = self._build_source(read) if read is not None else None
        directory = os.environ.get("TMPDIR")
        self.handover = self._build_handover(directory) if directory else None
        self._is_serving = False
        self.reporter = Reporter(config.control, config.name, self._ready, self.counters, config.seed)
        self._leave_requested = asyncio.Event()
        self._notice_at = 0.0  # when the notice to leave was given

    def _build_session(self) -> Session:
        """Build the executor's session, which outlives its connections."""
        keeps_work = self.config.settings.cancellation is decision.Cancellation.KEEPS_WORK
        return Session(self.clock, self.counters, self.log, keeps_work)

    def _build_records(self) -> RecordsService:
        """Build the connections to the records service."""
        max_connections = max(4, self.sockets // 5)
        return RecordsService(
            self.config.records, self.clock, self.counters, self.log, max_connections, self.descriptors
        )

    def _build_broker(self) -> Broker:
        """Build the broker, and have executor, records and timer report to it."""
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
            self.config.memory,
        )
        broker.on_started = self._on_executor_started
        timer.broker = broker
        self._session.notices = broker
        self.records.listener = broker
        return broker

    def _build_front(self) -> RespListener:
        """Build the listener for balancers."""
        return RespListener(
            self.broker,
            self.clock,
            self.counters,
            self.log,
            self.sockets,
            rules_of(self.setup.admission),
            self.descriptors,
            self.lifecycle,
        )

    # Each of these parts is optional; a module that only one of them needs is imported where that part is built.

    def _build_listener(self) -> OperatorListener:
        """Build the operators' socket."""
        from .admin import CommandTable, OperatorListener

        commands = {name: command for part in self.subsystems for name, command in part.commands().items()}
        with_arguments = {
            name: command for part in self.subsystems for name, command in part.commands_with_arguments().items()
        }
        table = CommandTable(self.lifecycle, self.broker.metrics, commands, with_arguments)
        return OperatorListener(table, self.descriptors, self.counters, self.log)

    def _build_consumer(self, amqp: AmqpConfig) -> Consumer:
        """Build the AMQP consumer."""
        from .net.amqp import Consumer

        return Consumer(amqp, self.broker, self.clock, self.counters, self.log, self.config.seed)

    def _build_recorder(self, path: str) -> Recorder:
        """Build the recorder of balancers' traffic, a pcap file."""
        from .pcap import Recorder

        recorder = Recorder(path, self.clock, self.counters, self.config.listen.port)
        self.front.recorder = recorder
        return recorder

    def _build_source(self, path: str) -> Source:
        """Build the source of requests from a pcap file."""
        from .pcap import Source

        return Source(path, self.config.listen.port, self.front, self.clock)

    def _build_handover(self, directory: str) -> HandoverLink:
        """Build the hand-over between two processes of this node, which meet at a socket in this directory."""
        config = self.config
        window = max((cls.window for cls in config.settings.classes), default=0.0)
        path = rendezvous_path(directory, config.name, f"{config.listen.host}:{config.listen.port}")
        host = NodeHandoverHost(
            self.broker, self.front, self.subsystems, self.lifecycle, self.descriptors, self.sockets
        )
        session = HandoverSession(host, HandoverStateMachine(window), self.clock, self.counters)
        self.broker.peer = session
        self.broker.keys.replicate = session.replicate
        link = HandoverLink(Rendezvous(path), session, self._listening_sockets, self.clock, self.counters, self.log)
        link.serve = self._serve
        return link

    def print_counters(self) -> None:
        """On request and at exit; never dropped by the rate limit."""
        dropped = {"log.dropped": self.log.dropped} if self.log.dropped else {}
        store = {} if self.store is None else {f"store.{name}": count for name, count in self.store.metrics().items()}
        parts = {name: count for part in self.subsystems for name, count in part.metrics().items()}
        self.log.always(
            "counters",
            **dict(sorted(self.counters.counts.items())),
            **self.front.metrics(),
            **store,
            **parts,
            **dropped,
        )

    def print_state(self) -> None:
        """On SIGUSR1: the counters, the AMQP consumer, who is connected most, and the descriptors."""
        self.print_counters()
        if self.consumer is not None:
            self.log.always("amqp.state", **self.consumer.describe())
        addresses, blocks = self.front.table.top(MAX_TOP_ADDRESSES)
        self.log.always(
            "admission.top",
            addresses=" ".join(f"{name}={count}" for name, count in addresses),
            blocks=" ".join(f"{name}={count}" for name, count in blocks),
        )
        self.log.always("descriptors", **self.descriptors.metrics())

    def reload(self) -> None:
        """Read the configuration again and meet executor, records and control plane where it says now.

        Guards a node that serves against a file that is half written or wrong: it is checked whole before
        anything is swapped, and a bad one changes nothing."""
        try:
            config = load()
        except ConfigError as error:
            self.counters.add("reloads.bad")
            self.log.event("reload.rejected", why=str(error))
            return
        kept = dataclasses.replace(
            self.config, executor=config.executor, records=config.records, control=config.control
        )
        if kept != config:
            other = [
                field.name
                for field in dataclasses.fields(kept)
                if getattr(kept, field.name) != getattr(config, field.name)
            ]
            self.log.event("reload.only_addresses", ignored=",".join(other))
        self.config = kept
        self.executor.move(config.executor)
        self.records.move(config.records)
        self.reporter.move(config.control)
        self.counters.add("reloads")
        self._reload_setup()

    def _reload_setup(self) -> None:
        """The rules of admission follow the operator's file; the rest of it is for the next start."""
        if self._setup_path is None:
            return
        try:
            setup = load_setup(self._setup_path)
        except ConfigError as error:
            self.counters.add("reloads.bad")
            self.log.event("reload.rejected", why=str(error))
            return
        if dataclasses.replace(self.setup, admission=setup.admission) != setup:
            self.log.event("reload.only_admission", file=self._setup_path)
        if setup.admission != self.setup.admission:
            self.front.apply(rules_of(setup.admission))
        self.setup = dataclasses.replace(self.setup, admission=setup.admission)

    def _request_leave(self, at: float) -> None:
        """Take the notice to leave, given at this time; a second one changes nothing."""
        if not self._leave_requested.is_set():
            self._notice_at = min(at, self.clock.now())
            self._leave_requested.set()

    async def run(self) -> int:
        """Serve until told to leave, then leave."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_error)
        with signals.deliver(
            loop,
            {
                signal.SIGTERM: self._request_leave,
                signal.SIGUSR1: lambda at: self.print_state(),
                signal.SIGHUP: lambda at: self.reload(),
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
        work: list[Awaitable[None]] = [
            self._restart_on_error(self.executor.run),
            self._restart_on_error(self._sweep),
            self._restart_on_error(self._report),
            *(part.run() for part in self.subsystems),
        ]
        if self.handover is not None:
            work.append(self.handover.run())
        if self.consumer is not None:
            work.append(self._restart_on_error(self.consumer.run))
        if self.source is not None:
            work.append(self._replay_file(self.source))
        tasks = [asyncio.ensure_future(part) for part in work]
        self.broker.tick()
        await self._leave_requested.wait()
        await self._leave()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.recorder is not None:
            self.front.close_replayed()
            self.recorder.close()
        self.print_counters()
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
        """Feed a file once the executor is up; leave after its end."""
        while not self.broker.started:
            await asyncio.sleep(POLL_INTERVAL_S)
        await source.run()
        self.log.event("pcap.read", **dataclasses.asdict(source.report))
        while self.broker.awaiting_response_count:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._request_leave(self.clock.now())

    def _on_executor_started(self) -> None:
        """The executor has started."""
        if self.handover is not None:
            self.handover.session.executor_ready()
        if self._is_serving:
            self.lifecycle.apply(Transition.CAN_SERVE)

    async def _serve(self) -> None:
        """Accept balancers, on the sockets of a predecessor where it passed them.

        Raises OSError at the start only: beside a predecessor the node stays, and is asked again."""
        sockets = self.handover.sockets if self.handover is not None else []
        for part in self.subsystems:
            sockets[:] = part.adopt(sockets)
        sockets[:] = self._client_sockets(sockets)
        if sockets:
            self.front.adopt(sockets)
            sockets.clear()
        elif not self.front.listeners and self.handover is not None and self.handover.has_predecessor:
            try:
                await self.front.listen(self.config.listen, AddressSharing.BESIDE)
            except OSError as error:
                self.log.event("listen.failed", why=error.strerror or str(error))
                return
        elif not self.front.listeners:
            await self.front.listen(
                self.config.listen, AddressSharing.LATER if self.handover is not None else AddressSharing.NONE
            )
        if not self._is_serving:
            self._is_serving = True
            self.log.event(
                "serving", name=self.config.name, listen=f"{self.config.listen.host}:{self.config.listen.port}"
            )
            for part in self.subsystems:
                part.start()
        if self.broker.started:
            self.lifecycle.apply(Transition.CAN_SERVE)

    def _listening_sockets(self) -> list[socket.socket]:
        """The listening sockets that a successor is to have."""
        return self.front.listeners + [sock for part in self.subsystems for sock in part.sockets()]

    def _client_sockets(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Of a predecessor's sockets those for clients. The others belong to a subsystem that is off here."""
        port, mine = self.config.listen.port, []
        for sock in sockets:
            if sock.type == socket.SOCK_STREAM and sock.getsockname()[1] == port:
                mine.append(sock)
            else:
                sock.close()
        return mine

    async def _report(self) -> None:
        """The list follows what all processes of the node report: one that does not serve yet has nothing to say."""
        while not self._is_serving:
            await asyncio.sleep(SWEEP_INTERVAL_S / 5)
        await self.reporter.run()

    def _ready(self) -> bool:
        return self.front.healthy and (self.lifecycle.handed_over or not self._leave_requested.is_set())

    def _log_error(self, _: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """Guards the node against an error in one connection's handling: the rest serves on."""
        self.counters.add("errors")
        self.log.event("error", message=str(context.get("message")), error=repr(context.get("exception")))

    async def _restart_on_error(self, work: Callable[[], Awaitable[None]]) -> None:
        """Begin a part's work again should an error of ours end it: without it the node would only look alive."""
        while True:
            try:
                return await work()
            except Exception as error:  # noqa: BLE001  whatever it is, it is counted and logged here
                self.counters.add("errors")
                self.log.event("error", message="a part of the node is begun again", error=repr(error))
            await asyncio.sleep(SWEEP_INTERVAL_S)

    async def _sweep(self) -> None:
        over = 0
        for turn in itertools.count():
            if turn % SWEEPS_PER_RECONCILIATION == 0 and (held := count_open_descriptors()) is not None:
                # One look may fall between the claim of a descriptor and its opening.
                over = over + 1 if self.descriptors.reconcile(held) else 0
                self.counters.check_invariant(over < 3, "ledger")
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.front.close_idle()
            self.front.close_replayed()
            self.records.close_idle()

    async def _leave(self) -> None:
        """Serve through the grace, ask balancers to close, and end once all is answered and they have closed."""
        self.log.event("leaving")
        self.lifecycle.apply(Transition.LEAVE)
        if self.lifecycle.handed_over:
            await self._finish()
            return
        for part in self.subsystems:
            part.leave()
        stop = self._notice_at + self.config.stop - STOP_MARGIN_S
        self.broker.drain(stop, self._notice_at)
        if self.consumer is not None:
            self.consumer.leave()
        grace = self.broker.last_arrival or stop
        while self.clock.now() < min(grace, stop):
            await asyncio.sleep(2 * POLL_INTERVAL_S)
        self.front.leave()
        while self.clock.now() < stop + STOP_MARGIN_S / 3 and (
            self.broker.awaiting_response_count
            or self.front.connections
            or (self.consumer is not None and not self.consumer.settled)
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _finish(self) -> None:
        """A successor serves: no drain, only an end once everything open here is over."""
        longest = max((cls.deadline for cls in self.config.settings.classes), default=MAX_DEADLINE_S)
        stop = self._notice_at + min(longest, MAX_DEADLINE_S) + FINISH_MARGIN_S - STOP_MARGIN_S
        self.broker.finish(stop)
        if self.consumer is not None:
            self.consumer.leave()
        self.front.yield_ownership()
        while self.clock.now() < stop + STOP_MARGIN_S / 3 and (
            self.broker.has_open_attempts
            or self.front.connections
            or (self.consumer is not None and not self.consumer.settled)
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
