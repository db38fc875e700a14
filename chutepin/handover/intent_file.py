"""The file beside the rendezvous that keeps what the node was told for a process that outlives the one that was told.

A process writes the file before it confirms a command, so the command is not lost if the process is killed or its link
to the other process is cut. The file is bounded, replaced atomically and removed by the first process of a node."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path

from ..logs import Log
from ..node_intent import NodeIntent
from .fields import MalformedFrameError
from .frames import decode_intent, encode_intent

MAX_FILE_BYTES = 1024


class IntentFile:
    """What the node was told, as kept for its processes in the directory of the rendezvous."""

    def __init__(self, rendezvous_path: str, log: Log) -> None:
        self._path = Path(f"{rendezvous_path}.intent")
        self._log = log

    def load(self) -> NodeIntent:
        """Return what is kept; a missing or malformed file keeps nothing."""
        try:
            with self._path.open("rb") as file:
                values = json.loads(file.read(MAX_FILE_BYTES))
            if not isinstance(values, dict):
                raise MalformedFrameError("not a JSON object")
            return decode_intent(values)
        except FileNotFoundError:
            return NodeIntent()
        except (OSError, ValueError, RecursionError, MalformedFrameError) as error:
            self._log.event("intent.not_read", why=str(error))
            return NodeIntent()

    def store(self, intent: NodeIntent) -> None:
        """Keep an intent, merged with what is kept. A failure is logged, as the process itself knows the intent."""
        kept = self.load()
        merged = kept.merged_with(intent)
        if merged == kept:
            return
        temporary_path = Path(f"{self._path}.{os.getpid()}")
        try:
            temporary_path.write_text(json.dumps(encode_intent(merged)))
            temporary_path.replace(self._path)
        except OSError as error:
            self._log.event("intent.not_stored", why=error.strerror or str(error))

    def remove(self) -> None:
        """Remove the file of an earlier life of the node."""
        with contextlib.suppress(OSError):
            self._path.unlink(missing_ok=True)
