"""Names of the files of a store's directory."""

from __future__ import annotations

import re

MANIFEST_FILE = "MANIFEST"
MARKER_FILE = "ACKED"
TEMPORARY_SUFFIX = ".new"  # of a file that is renamed once it is complete
_OWN_FILE = re.compile(r"\d{10}\.(seg|hint)(\.new)?|MANIFEST\.new")


def segment_name(number: int) -> str:
    """File of a segment."""
    return f"{number:010d}.seg"


def hint_name(number: int) -> str:
    """File of a segment's hint."""
    return f"{number:010d}.hint"


def is_own_file(name: str) -> bool:
    """Whether a store writes files of this name, so that one which nothing refers to may be removed."""
    return _OWN_FILE.fullmatch(name) is not None
