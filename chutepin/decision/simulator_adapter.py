"""Host of decision instances that exchanges batches of JSON lines with the simulator."""

from __future__ import annotations

import sys
from typing import TextIO

from . import simulator_protocol as wire
from .actions import Action
from .errors import DecisionError
from .events import Event
from .policy import Policy


class Host:
    """Independent decision instances by name."""

    def __init__(self) -> None:
        self.instances: dict[str, Policy] = {}

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Answer batches until the input ends. Raises WireError."""
        pending: list[wire.JsonObject] | None = None
        for line_number, line in enumerate(source, 1):
            if not line.strip():
                continue
            try:
                pending = self._handle_message(wire.parse_line(line), pending, sink)
            except DecisionError as error:
                raise wire.WireError(f"line {line_number}: {error}") from error
        if pending is not None:
            raise wire.WireError("the input ends inside a batch")

    def _handle_message(
        self, message: wire.JsonObject, pending: list[wire.JsonObject] | None, sink: TextIO
    ) -> list[wire.JsonObject] | None:
        """Add a message to the pending batch, or answer the batch at its END. Return the batch still pending."""
        if message["op"] == "TURN":
            if pending is not None:
                raise wire.WireError("TURN inside a batch")
            return [message]
        if pending is None:
            raise wire.WireError(f"'{message['op']}' outside a batch")
        if message["op"] != "END":
            pending.append(message)
            return pending
        sink.write("".join(line + "\n" for line in self.handle_batch(pending)))
        sink.flush()
        return None

    def handle_batch(self, messages: list[wire.JsonObject]) -> list[str]:
        """Return the reply lines to a batch, whose first message carries the clock. Raises DecisionError."""
        now = wire.number(messages[0], "clock")
        inboxes: dict[str, list[Event]] = {}
        replies: dict[str, list[Action]] = {}
        for message in messages[1:]:
            name = wire.text(message, "server")
            if message["op"] == "LAUNCH":
                inboxes[name] = []
                settings = wire.parse_settings(message.get("env"))
                self.instances[name] = Policy(settings, int(wire.number(message, "nonce64")))
                replies[name] = self.instances[name].start(now)
                continue
            if name not in self.instances:
                raise wire.WireError(f"'{message['op']}' for an instance that does not exist: '{name}'")
            if message["op"] == "EXIT":
                del self.instances[name]
                inboxes.pop(name, None)
                replies.pop(name, None)
            else:
                inboxes.setdefault(name, []).append(wire.parse_event(message))
        for name, events in inboxes.items():
            if events:
                replies.setdefault(name, []).extend(self.instances[name].handle(now, events))
        lines = [wire.format_action(action, name) for name, actions in replies.items() for action in actions]
        return [*lines, '{"op":"OK"}']


def main() -> int:
    """Run `python -m chutepin.decision.simulator_adapter`. Return its exit status."""
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
