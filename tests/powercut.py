"""A directory that loses what a power cut may lose, tears what it may tear, and fails on demand.

It models the assumptions that `chutepin/store/file_system.py` states and grants nothing beyond them. `cut_at` ends
the run inside that file operation; `after` gives the directory as a restart may then find it."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from chutepin.store.errors import StoreLockedError


class PowerCut(Exception):  # noqa: N818 - it is an event, not an error of the program
    """The power is cut during a file operation."""


@dataclass
class Inode:
    """A file: what is durable, what a reader sees, and the writes that make the difference."""

    durable: bytearray = field(default_factory=bytearray)
    seen: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes]] = field(default_factory=list)

    def apply(self, offset: int, data: bytes, to: bytearray) -> None:
        if len(to) < offset + len(data):
            to.extend(bytes(offset + len(data) - len(to)))
        to[offset : offset + len(data)] = data


class SimulatedFile:
    def __init__(self, files: SimulatedFileSystem, inode: Inode, name: str) -> None:
        self._files, self._inode, self._name = files, inode, name

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self._inode.seen[offset : offset + length])

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        data = b"".join(buffers)
        self._inode.pending.append((offset, data))
        try:
            self._files.operate("write", self._name)
        except OSError:
            # Part of a failed write may have been done.
            self._inode.pending[-1] = (offset, data[: len(data) // 2])
            self._inode.apply(offset, data[: len(data) // 2], self._inode.seen)
            raise
        self._inode.apply(offset, data, self._inode.seen)

    def allocate(self, size: int) -> None:
        self.write(0, [bytes(size)])

    def size(self) -> int:
        return len(self._inode.seen)

    def sync(self) -> None:
        try:
            self._files.operate("sync", self._name)
        except OSError:
            # As on Linux the pages are clean now: readers see what is not on the disk, and no later sync writes it.
            self._inode.pending.clear()
            raise
        for offset, data in self._inode.pending:
            self._inode.apply(offset, data, self._inode.durable)
        self._inode.pending.clear()

    def close(self) -> None:
        pass


Names = dict[str, Inode]


class SimulatedFileSystem:
    """One directory. `fail` returns the error of an operation, `cut_at` numbers the one during which power is cut."""

    def __init__(self) -> None:
        self.durable: Names = {}
        self.seen: Names = {}
        self.changes: list[Callable[[Names], None]] = []
        self.operations = 0
        self.cut_at = -1
        self.fail: Callable[[str, str], OSError | None] = lambda _operation, _name: None
        self.locked = False
        self.label = "sim"

    def operate(self, operation: str, name: str) -> None:
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
        return sorted(self.seen)

    def open(self, name: str) -> SimulatedFile:
        if name not in self.seen:
            raise FileNotFoundError(2, "no such file", name)
        return SimulatedFile(self, self.seen[name], name)

    def create(self, name: str) -> SimulatedFile:
        inode = Inode()
        self._change("create", name, lambda names: names.__setitem__(name, inode))
        return SimulatedFile(self, inode, name)

    def rename(self, old: str, new: str) -> None:
        inode = self.seen[old]

        def change(names: Names) -> None:
            names.pop(old, None)
            names[new] = inode

        self._change("rename", new, change)

    def remove(self, name: str) -> None:
        self._change("remove", name, lambda names: _pop(names, name))

    def _change(self, operation: str, name: str, change: Callable[[Names], None]) -> None:
        self.changes.append(change)
        try:
            self.operate(operation, name)
        except OSError:
            self.changes.pop()
            raise
        change(self.seen)

    def sync_names(self) -> None:
        self.operate("sync names", "")
        for change in self.changes:
            change(self.durable)
        self.changes.clear()

    def after(self, survivors: str | random.Random) -> SimulatedFileSystem:
        """The directory after a power cut now.

        `survivors`: of what was not durable `"none"`, `"all"`, or what a random source picks."""
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
            restart.durable[name] = restart.seen[name] = copies[id(inode)]
        return restart

    def copy(self) -> SimulatedFileSystem:
        """The directory as a restart of the process alone finds it."""
        restart = SimulatedFileSystem()
        for name, inode in self.seen.items():
            restart.durable[name] = restart.seen[name] = Inode(bytearray(inode.seen), bytearray(inode.seen))
        return restart


def _pop(names: Names, name: str) -> None:
    names.pop(name, None)


def _survives(survivors: str | random.Random) -> bool:
    return survivors == "all" if isinstance(survivors, str) else survivors.random() < 0.5


def _sectors(offset: int, data: bytes) -> list[tuple[int, bytes]]:
    """A write in sectors, each of which becomes durable independently."""
    pieces, at = [], 0
    while at < len(data):
        size = min(512 - (offset + at) % 512, len(data) - at)
        pieces.append((offset + at, data[at : at + size]))
        at += size
    return pieces
