"""Tests that the code still contains every external name listed in `docs/external-names.txt`."""

from __future__ import annotations

import io
import re
import tokenize
from pathlib import Path

ROOT = Path(__file__).parent.parent
LIST = ROOT / "docs" / "external-names.txt"
WORD = re.compile(r"[A-Za-z_][\w.\-]*")
PART = re.compile(r"[A-Za-z_]\w*")
MIN_NAMES = 600


def listed_names() -> list[str]:
    """Return the distinct names of the list, without its headings."""
    lines = [line.partition("#")[0].strip() for line in LIST.read_text().splitlines()]
    return list(dict.fromkeys(line for line in lines if line))


def words_in_code() -> frozenset[str]:
    """Return the identifiers and the words of strings in the code, without docstrings and comments."""
    words: set[str] = set()
    for folder in ("chutepin", "benchmarks"):
        for path in (ROOT / folder).rglob("*.py"):
            for token in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
                if token.type == tokenize.NAME:
                    words.add(token.string)
                elif token.type == tokenize.STRING and not token.string.startswith(('"""', 'r"""')):
                    words.update(WORD.findall(token.string), PART.findall(token.string))
    words.update(WORD.findall((ROOT / "deploy" / "balancer.toml").read_text()))
    return frozenset(words)


def test_list_covers_external_interfaces() -> None:
    assert len(listed_names()) >= MIN_NAMES


def test_code_contains_external_names() -> None:
    words = words_in_code()
    assert [name for name in listed_names() if name not in words] == []
