"""Tests that the modules, classes, functions, methods and paths named in `docs/architecture.md` exist."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
REFERENCE = re.compile(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`")  # dotted name from the package's root, such as `broker.Broker`
PATH = re.compile(r"`((?:chutepin|tests|benchmarks|deploy|docs)/[\w./-]*)`")
MIN_REFERENCES = 60


def resolve(reference: str) -> bool:
    """Return whether a dotted name from the package's root is a module or an attribute of a module."""
    parts = reference.split(".")
    for length in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(["chutepin", *parts[:length]]))
        except ModuleNotFoundError:
            continue
        for name in parts[length:]:
            if not hasattr(found, name):
                return False
            found = getattr(found, name)
        return True
    return False


REFERENCES = sorted(set(REFERENCE.findall(PAGE.read_text())))
PATHS = sorted(set(PATH.findall(PAGE.read_text())))


def test_page_has_minimum_number_of_references() -> None:
    assert len(REFERENCES) >= MIN_REFERENCES


@pytest.mark.parametrize("reference", REFERENCES)
def test_each_name_on_page_exists(reference: str) -> None:
    assert resolve(reference)


@pytest.mark.parametrize("path", PATHS)
def test_each_path_on_page_exists(path: str) -> None:
    assert (ROOT / path).exists()


def test_each_package_is_on_page() -> None:
    packages = {f"chutepin/{path.parent.name}/" for path in (ROOT / "chutepin").glob("*/__init__.py")}
    assert packages <= set(PATHS)


@pytest.mark.parametrize("reference", ["node.Nobody", "node.Node.no_method", "no_module.Node", "net.resp.nothing"])
def test_missing_name_is_detected(reference: str) -> None:
    assert not resolve(reference)
