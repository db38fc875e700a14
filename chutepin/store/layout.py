"""File names in a store's directory."""

from __future__ import annotations

import re

MANIFEST_FILE = "MANIFEST"
MARKER_FILE = "ACKED"
TEMPORARY_SUFFIX = ".new"  # of a file that is renamed to its final name once complete
_STORE_FILE = re.compile(r"\d{10}\.(seg|hint)(\.new)?|MANIFEST\.new")


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:010d}.seg"


def hint_name(number: int) -> str:
    """Return the file name of a segment's hint."""
    return f"{number:010d}.hint"


def is_store_file(name: str) -> bool:
    """Return whether a store creates files of this name, so that an unreferenced one may be removed."""
    return _STORE_FILE.fullmatch(name) is not None
