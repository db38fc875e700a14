#!/bin/sh
# The stand-ins of the review are Python files that need the standard library alone: nothing is compiled or installed.
cd "$(dirname "$0")/.." && .venv/bin/python -B -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")): ast.parse(path.read_text(), str(path))'
