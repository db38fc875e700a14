"""What `docs/architecture.md` names exists: modules, classes, functions and methods of the package."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
REFERENCE = re.compile(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`")  # dotted, from the package's root: `broker.Broker`
PATH = re.compile(r"`((?:chutepin|tests|benchmarks|deploy|docs)/[\w./-]*)`")
MIN_REFERENCES = 60


def resolve(reference: str) -> bool:
    """Whether a dotted name from the package's root is a module, or something that a module defines."""
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


def test_the_page_names_enough_of_the_code_to_follow_it() -> None:
    assert len(REFERENCES) >= MIN_REFERENCES


@pytest.mark.parametrize("reference", REFERENCES)
def test_every_module_class_and_function_on_the_page_exists(reference: str) -> None:
    assert resolve(reference)


@pytest.mark.parametrize("path", PATHS)
def test_every_path_on_the_page_exists(path: str) -> None:
    assert (ROOT / path).exists()


def test_every_package_of_the_program_is_on_the_page() -> None:
    packages = {f"chutepin/{path.parent.name}/" for path in (ROOT / "chutepin").glob("*/__init__.py")}
    assert packages <= set(PATHS)


@pytest.mark.parametrize("reference", ["node.Nobody", "node.Node.no_method", "no_module.Node", "net.resp.nothing"])
def test_a_name_that_does_not_exist_is_found(reference: str) -> None:
    assert not resolve(reference)
