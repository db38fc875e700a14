"""Builds the import graph of a package from its sources, without importing any module."""

from __future__ import annotations

import ast
from collections import defaultdict
from collections.abc import Iterator, Set
from enum import Enum
from pathlib import Path
from typing import NamedTuple

DYNAMIC = ("__import__", "import_module", "importlib.import_module")


class Kind(Enum):
    """The time at which an import statement runs."""

    EAGER = "module level"
    LAZY = "function level"
    TYPING = "TYPE_CHECKING"


class Import(NamedTuple):
    """An import of one module of the package by another."""

    source: str
    target: str
    kind: Kind


def import_graph(package: Path) -> set[Import]:
    """Return all imports between modules of the package in this directory.

    Importing `a.b.c` also imports `a` and `a.b`; these are included, except for parents of the importing module, which
    are already imported. Raises ValueError for an import by a computed name that could be any module."""
    paths = {_module_name(path, package): path for path in package.rglob("*.py")}
    found: set[Import] = set()
    for module, path in paths.items():
        parent = module if path.name == "__init__.py" else module.rpartition(".")[0]
        for node, kind in _imports(ast.parse(path.read_text()), Kind.EAGER):
            for target in _targets(node, parent, paths.keys()):
                if target != module:
                    found.add(Import(module, target, kind))
    return found


def cycles(imports: Set[Import], *kinds: Kind) -> list[list[str]]:
    """Return the groups of modules with import cycles by imports of these kinds, each group sorted by name."""
    edges: dict[str, set[str]] = defaultdict(set)
    for source, target, kind in imports:
        if kind in kinds:
            edges[source].add(target)
    reachable = {module: _reachable(edges, module) for module in edges}
    groups = {
        tuple(sorted(other for other in reached if module in reachable.get(other, ())))
        for module, reached in reachable.items()
        if module in reached
    }
    return sorted(map(list, groups))


def _reachable(edges: dict[str, set[str]], start: str) -> set[str]:
    reached: set[str] = set()
    pending = [start]
    while pending:
        new = edges.get(pending.pop(), set()) - reached
        reached |= new
        pending += new
    return reached


def _module_name(path: Path, package: Path) -> str:
    parts = path.relative_to(package.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imports(node: ast.AST, kind: Kind) -> Iterator[tuple[ast.AST, Kind]]:
    """Yield the import statements and importing calls at or below an AST node, each with its kind."""
    if isinstance(node, ast.Import | ast.ImportFrom) or _is_dynamic_import(node):
        yield node, kind
    if isinstance(node, ast.If) and ast.unparse(node.test) in ("TYPE_CHECKING", "typing.TYPE_CHECKING"):
        for statement in node.body:
            yield from _imports(statement, Kind.TYPING)
        for statement in node.orelse:
            yield from _imports(statement, kind)
        return
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda) and kind is Kind.EAGER:
        kind = Kind.LAZY
    for child in ast.iter_child_nodes(node):
        yield from _imports(child, kind)


def _is_dynamic_import(node: ast.AST) -> bool:
    return isinstance(node, ast.Call) and ast.unparse(node.func) in DYNAMIC


def _targets(node: ast.AST, parent: str, modules: Set[str]) -> Iterator[str]:
    """Yield the modules that one import in a module of the package `parent` imports."""
    match node:
        case ast.Import():
            names = [alias.name for alias in node.names]
        case ast.ImportFrom():
            base = _resolve(node.module or "", node.level, parent)
            names = [name if (name := f"{base}.{alias.name}") in modules else base for alias in node.names]
        case ast.Call(args=[ast.Constant(value=str(name)), *_]):
            names = [_resolve(name.lstrip("."), len(name) - len(name.lstrip(".")), parent)]
        case ast.Call(args=[ast.JoinedStr(values=[ast.Constant(value="."), ast.FormattedValue()]), *_]):
            names = [name for name in modules if name.rpartition(".")[0] == parent]  # a computed name: any sibling
        case _:
            raise ValueError(f"{parent}: an import by a computed name: {ast.unparse(node)}")
    for name in names:
        if name in modules:
            yield name
        parts = name.split(".")
        for length in range(1, len(parts)):
            ancestor = ".".join(parts[:length])
            if ancestor in modules and ancestor != parent and not parent.startswith(f"{ancestor}."):
                yield ancestor


def _resolve(name: str, level: int, parent: str) -> str:
    """Return the absolute name of a module named relative to the package `parent`."""
    if level == 0:
        return name
    base = parent.split(".")[: len(parent.split(".")) - level + 1]
    return ".".join([*base, name] if name else base)
