"""What the two processes tell each other and what each makes of it. Sans-I/O: frames in, frames out through `send`."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from ..clock import Clock
from ..counters import Counters
from ..idempotency import IdempotencyRecord, KeyOwnership
from ..net.lines import ProtocolError
from .frames import Frame, decode_record, encode_record, frame
from .state_machine import OWNING, HandoverStateMachine, Stage


class Host(Protocol):
    """The node, as the hand-over needs it."""

    def entries(self) -> list[IdempotencyRecord]: ...

    def current(self, entry: IdempotencyRecord) -> bool:
        """It is still in the table."""

    def heard(self, entry: IdempotencyRecord) -> None: ...
    def unheard(self, key: str) -> None: ...
    def asked(self, id: str, key: str, contents: bytes, until: float) -> bool: ...
    def granted(self, id: str, key: str, may: bool) -> None: ...
    def orphaned(self) -> None: ...
    def learned(self) -> dict[str, object]: ...
    def adopt(self, learned: dict[str, object]) -> None: ...

    def use(self) -> tuple[int, float, int]:
        """Runs, memory in KB, descriptors."""

    def elsewhere(self, running: int, memory: float, descriptors: int) -> None:
        """What the other process uses."""

    def yield_ownership(self) -> None:
        """A successor serves: accept no more, have what is open here finished."""

    def resume_ownership(self) -> None:
        """The successor has gone: accept again."""


class HandoverSession:
    """One process's side. It is the core's `keys.PeerProcess`, and what the table of keys tells."""

    def __init__(self, host: Host, machine: HandoverStateMachine, clock: Clock, counters: Counters) -> None:
        self._host, self._clock, self._counters = host, clock, counters
        self.machine = machine
        # Writes to the other process: true where the kernel has all of it, None where the link has ended and nobody was
        # told yet. None itself without a link.
        self.send: Callable[[bytes], bool | None] | None = None
        self._welcomed = False
        self._whole = False  # the successor has been told all keys

    # --- keys.PeerProcess, and keys.Table.told ---

    def standing(self, now: float) -> KeyOwnership:
        """Who may take a key that is not known here."""
        return self.machine.standing(now)

    def ask(self, id: str, key: str, contents: bytes, until: float) -> None:
        """Ask the owner of the keys."""
        self._counters.add("handover.asked")
        self._say(frame("ASK", id=id, key=key, contents=contents.hex(), until=until))

    def told(self, key: str, entry: IdempotencyRecord | None) -> bool:
        """An entry of this process has changed. True once the other process is sure to hear of it: the bytes are in the
        kernel's hands, or there is no other process."""
        if self.send is None:
            return self.machine.stage is not Stage.DISCONNECTED
        sure = self.send(frame("DROP", key=key) if entry is None else encode_record(entry))
        if sure is None:  # the owner of the keys goes on alone: the other one runs none without a link
            return self.machine.stage in OWNING
        # A successor that was not told all yet takes no key if this process dies now.
        return sure or (self.machine.stage is Stage.SENDING_KEYS and not self._whole)

    def _say(self, data: bytes) -> bool:
        return self.send is not None and bool(self.send(data))

    # --- both ---

    def tell_use(self) -> bool:
        """Tell what this process uses; whether the kernel took it."""
        running, memory, descriptors = self._host.use()
        return self._say(frame("USE", running=running, memory=memory, descriptors=descriptors))

    def hear(self, message: Frame) -> None:
        """Take in a frame of the other process. Raises ProtocolError."""
        verb, fields = message
        self.machine.heard(self._clock.now(), verb)
        try:
            self._said(verb, fields)
        except (KeyError, TypeError, ValueError) as error:
            raise ProtocolError(f"{verb} is malformed: {error!r}") from None

    def _said(self, verb: str, fields: dict[str, Any]) -> None:
        match verb:
            case "KEY":
                self._host.heard(decode_record(fields))
            case "DROP":
                self._host.unheard(str(fields["key"]))
            case "USE":
                self._host.elsewhere(int(fields["running"]), float(fields["memory"]), int(fields["descriptors"]))
            case "SYNCED":
                self.machine.closed_until = float(fields["closed_until"])  # what it does not know, nobody knows
                self._take()
            case "LEARNED":
                self._host.adopt(fields)
            case "TAKES" if self.machine.taken():
                self._counters.add("handover.yielded")
                self._host.yield_ownership()
                self._say(frame("LEARNED", **self._host.learned()))
                self._say(frame("YOURS"))
            case "ASK":
                id, key = str(fields["id"]), str(fields["key"])
                may = self._host.asked(id, key, bytes.fromhex(fields["contents"]), float(fields["until"]))
                self._say(frame("TOLD", id=id, key=key, may=may))
            case "TOLD":
                self._host.granted(str(fields["id"]), str(fields["key"]), bool(fields["may"]))
            case _:
                pass  # HERE and YOURS have had their effect on the stage

    # --- the newer process ---

    def welcomed(self) -> None:
        """The executor is up."""
        self._welcomed = True
        self._take()

    def _take(self) -> None:
        if self._welcomed and self.machine.takes(self._clock.now()):
            self._say(frame("TAKES"))

    def lost(self, alive: bool) -> None:
        """The link to the predecessor has ended."""
        self._over()
        self.machine.lost(self._clock.now(), alive)
        self._host.orphaned()

    # --- the older process ---

    def snapshot(self) -> Iterator[bytes]:
        """All keys for a successor, frame by frame. What changes meanwhile is told as it does."""
        self._whole = False
        for entry in self._host.entries():
            if self._host.current(entry):
                yield encode_record(entry)

    def synced(self) -> None:
        """All keys were told. To be called once the kernel has taken them: from here on a key runs only if the kernel
        takes its claim at once."""
        self._whole = True
        self._say(frame("SYNCED", closed_until=max(0.0, self.machine.closed_until)))

    def left(self, alive: bool, stood: float) -> None:
        """The link to the successor has ended."""
        yielded = self.machine.stage is Stage.YIELDED
        self._over()
        self.machine.left(self._clock.now(), yielded and alive, stood)
        if yielded:
            self._host.orphaned()
        if yielded and self.machine.stage is Stage.ALONE:
            self._host.resume_ownership()

    def gone(self) -> None:
        """The other process, which lived without a link to this one, has gone."""
        cut_off = self.machine.stage is Stage.DISCONNECTED
        self.machine.gone(self._clock.now())
        if cut_off:
            self._host.resume_ownership()

    def _over(self) -> None:
        self.send = None
        self._host.elsewhere(0, 0.0, 0)
