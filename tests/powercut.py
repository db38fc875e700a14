"""A simulated directory that loses unsynced writes, tears writes and injects I/O errors.

It models exactly the assumptions stated in `chutepin/store/file_system.py`. `cut_at` raises PowerCut during that file
operation; `after` returns the directory as a restart may find it."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from chutepin.store.errors import StoreLockedError


class PowerCut(Exception):  # noqa: N818 - an event, not an error of the program
    """Power cut during a file operation."""


@dataclass
class Inode:
    """The durable bytes of a file, the bytes that readers see, and the unsynced writes between them."""

    durable: bytearray = field(default_factory=bytearray)
    visible: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes]] = field(default_factory=list)

    def apply(self, offset: int, data: bytes, target: bytearray) -> None:
        if len(target) < offset + len(data):
            target.extend(bytes(offset + len(data) - len(target)))
        target[offset : offset + len(data)] = data


class SimulatedFile:
    def __init__(self, files: SimulatedFileSystem, inode: Inode, name: str) -> None:
        self._files, self._inode, self._name = files, inode, name

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self._inode.visible[offset : offset + length])

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        data = b"".join(buffers)
        self._inode.pending.append((offset, data))
        try:
            self._files.perform("write", self._name)
        except OSError:
            # A failed write may have been performed in part.
            self._inode.pending[-1] = (offset, data[: len(data) // 2])
            self._inode.apply(offset, data[: len(data) // 2], self._inode.visible)
            raise
        self._inode.apply(offset, data, self._inode.visible)

    def allocate(self, size: int) -> None:
        self.write(0, [bytes(size)])

    def size(self) -> int:
        return len(self._inode.visible)

    def sync(self) -> None:
        try:
            self._files.perform("sync", self._name)
        except OSError:
            # As on Linux, the pages are marked clean: readers see data that is not on the disk and that no later sync
            # writes.
            self._inode.pending.clear()
            raise
        for offset, data in self._inode.pending:
            self._inode.apply(offset, data, self._inode.durable)
        self._inode.pending.clear()

    def close(self) -> None:
        pass


Names = dict[str, Inode]


class SimulatedFileSystem:
    """A simulated directory. `fail` returns the error to inject; power is cut during operation number `cut_at`."""

    def __init__(self) -> None:
        self.durable: Names = {}
        self.visible: Names = {}
        self.changes: list[Callable[[Names], None]] = []
        self.operations = 0
        self.cut_at = -1
        self.fail: Callable[[str, str], OSError | None] = lambda _operation, _name: None
        self.locked = False
        self.label = "sim"

    def perform(self, operation: str, name: str) -> None:
        self.operations += 1
        if self.operations == self.cut_at:
            raise PowerCut
        if (error := self.fail(operation, name)) is not None:
            raise error

    def lock(self, create: bool) -> None:
        if self.locked:
            raise StoreLockedError("sim: open")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def names(self) -> list[str]:
        return sorted(self.visible)

    def open(self, name: str) -> SimulatedFile:
        if name not in self.visible:
            raise FileNotFoundError(2, "no such file", name)
        return SimulatedFile(self, self.visible[name], name)

    def create(self, name: str) -> SimulatedFile:
        inode = Inode()
        self._change("create", name, lambda names: names.__setitem__(name, inode))
        return SimulatedFile(self, inode, name)

    def rename(self, old: str, new: str) -> None:
        inode = self.visible[old]

        def change(names: Names) -> None:
            names.pop(old, None)
            names[new] = inode

        self._change("rename", new, change)

    def remove(self, name: str) -> None:
        self._change("remove", name, lambda names: _pop(names, name))

    def _change(self, operation: str, name: str, change: Callable[[Names], None]) -> None:
        self.changes.append(change)
        try:
            self.perform(operation, name)
        except OSError:
            self.changes.pop()
            raise
        change(self.visible)

    def sync_names(self) -> None:
        self.perform("sync names", "")
        for change in self.changes:
            change(self.durable)
        self.changes.clear()

    def after(self, survivors: str | random.Random) -> SimulatedFileSystem:
        """Return the directory as it is after a power cut now.

        `survivors` selects the unsynced changes that are kept: `"none"`, `"all"`, or a random choice."""
        restart = SimulatedFileSystem()
        names = dict(self.durable)
        for change in self.changes:
            if _survives(survivors):
                change(names)
        copies: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in copies:
                data = bytearray(inode.durable)
                writes = list(inode.pending)
                if isinstance(survivors, random.Random):
                    survivors.shuffle(writes)
                for offset, written in writes:
                    for at, sector in _sectors(offset, written):
                        if _survives(survivors):
                            kept = sector
                            if isinstance(survivors, random.Random) and survivors.random() < 0.2:
                                kept = sector[: survivors.randrange(len(sector) + 1)]
                            inode.apply(at, kept, data)
                copies[id(inode)] = Inode(data, bytearray(data))
            restart.durable[name] = restart.visible[name] = copies[id(inode)]
        return restart

    def copy(self) -> SimulatedFileSystem:
        """Return the directory as a restart of the process without a power cut finds it."""
        restart = SimulatedFileSystem()
        for name, inode in self.visible.items():
            restart.durable[name] = restart.visible[name] = Inode(bytearray(inode.visible), bytearray(inode.visible))
        return restart


def _pop(names: Names, name: str) -> None:
    names.pop(name, None)


def _survives(survivors: str | random.Random) -> bool:
    return survivors == "all" if isinstance(survivors, str) else survivors.random() < 0.5


def _sectors(offset: int, data: bytes) -> list[tuple[int, bytes]]:
    """Split a write into sectors, each of which becomes durable independently."""
    sectors, at = [], 0
    while at < len(data):
        size = min(512 - (offset + at) % 512, len(data) - at)
        sectors.append((offset + at, data[at : at + size]))
        at += size
    return sectors
