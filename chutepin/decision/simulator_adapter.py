"""Host of many decision instances on the simulator's wire, one batch of lines at a time."""

from __future__ import annotations

import sys
from typing import TextIO

from . import simulator_protocol as wire
from .actions import Action
from .errors import DecisionError
from .events import Event
from .policy import Policy


class Host:
    """Decision instances by name; they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[str, Policy] = {}

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Answer batches until the input ends. Raises WireError."""
        pending: list[wire.Obj] | None = None
        for count, line in enumerate(source, 1):
            if not line.strip():
                continue
            try:
                pending = self._line(wire.parse_line(line), pending, sink)
            except DecisionError as error:
                raise wire.WireError(f"line {count}: {error}") from error
        if pending is not None:
            raise wire.WireError("the input ends inside a batch")

    def _line(self, m: wire.Obj, pending: list[wire.Obj] | None, sink: TextIO) -> list[wire.Obj] | None:
        if m["op"] == "TURN":
            if pending is not None:
                raise wire.WireError("TURN inside a batch")
            return [m]
        if pending is None:
            raise wire.WireError(f"'{m['op']}' outside a batch")
        if m["op"] != "END":
            pending.append(m)
            return pending
        sink.write("".join(line + "\n" for line in self.batch(pending)))
        sink.flush()
        return None

    def batch(self, messages: list[wire.Obj]) -> list[str]:
        """The reply to one batch, whose first message carries the clock. Raises DecisionError."""
        now = wire.number(messages[0], "clock")
        inboxes: dict[str, list[Event]] = {}
        replies: dict[str, list[Action]] = {}
        for m in messages[1:]:
            name = wire.text(m, "server")
            if m["op"] == "LAUNCH":
                inboxes[name] = []
                settings = wire.parse_settings(m.get("env"))
                self.instances[name] = Policy(settings, int(wire.number(m, "nonce64")))
                replies[name] = self.instances[name].start(now)
                continue
            if name not in self.instances:
                raise wire.WireError(f"'{m['op']}' for an instance that does not exist: '{name}'")
            if m["op"] == "EXIT":
                del self.instances[name]
                inboxes.pop(name, None)
                replies.pop(name, None)
            else:
                inboxes.setdefault(name, []).append(wire.parse_event(m))
        for name, events in inboxes.items():
            if events:
                replies.setdefault(name, []).extend(self.instances[name].handle(now, events))
        lines = [wire.format_action(action, name) for name, actions in replies.items() for action in actions]
        return [*lines, '{"op":"OK"}']


def main() -> int:
    """Entry of `python -m chutepin.decision.simulator_adapter`."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    try:
        Host().run(sys.stdin, sys.stdout)
    except (wire.WireError, UnicodeDecodeError) as error:
        print(f"chutepin: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
