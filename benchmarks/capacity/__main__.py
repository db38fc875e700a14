"""Measure parts of the capacity page, then render `docs/CAPACITY.md`.

`python -m benchmarks.capacity [--check] [--alone] [--charts] [PART …]`: `--charts` also draws the charts that
the page shows. Without a part nothing is measured. `--check` writes nothing and fails if the page differs from the
rendered text."""

from __future__ import annotations

import sys
from dataclasses import dataclass

from .drawing import draw
from .measure import PARTS, measure
from .page import COMMAND, PAGE, differs, render
from .results import ResultError, load, save

FAILED, MISUSED = 1, 2
OPTIONS = ("--check", "--alone", "--charts")


class UsageError(ValueError):
    """Invalid command-line arguments; the message is one line."""


@dataclass(frozen=True, slots=True)
class Arguments:
    """The parsed command line."""

    parts: tuple[str, ...]
    check: bool
    alone: bool  # no other work runs on the machine
    charts: bool  # draw the charts again


def parse(command_line: list[str]) -> Arguments:
    """Parse the command-line arguments. Raises UsageError."""
    options = {argument for argument in command_line if argument.startswith("-")}
    parts = tuple(argument for argument in command_line if not argument.startswith("-"))
    if unknown := sorted(options - set(OPTIONS)):
        raise UsageError(f"unknown option {unknown[0]}; valid options: {', '.join(OPTIONS)}")
    if unknown := [part for part in parts if part not in PARTS]:
        raise UsageError(f"unknown part {unknown[0]}; valid parts: {', '.join(PARTS)}")
    check = "--check" in options
    if check and (parts or "--charts" in options):
        raise UsageError("--check writes nothing: name neither parts nor --charts")
    return Arguments(parts, check, "--alone" in options, "--charts" in options)


def main(command_line: list[str]) -> int:
    """Measure the named parts, then write or check the page. Return the exit code."""
    try:
        arguments = parse(command_line)
        for part in arguments.parts:
            print(part, flush=True)
            save(measure(part, shared=not arguments.alone))
        results = load()
        text = render(results)
    except (UsageError, ResultError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return MISUSED if isinstance(error, UsageError) else FAILED
    if arguments.check:
        return _check(text)
    PAGE.write_text(text)
    if arguments.charts:
        draw(results)
    return 0


def _check(text: str) -> int:
    if differs(text):
        print(
            f"capacity: docs/CAPACITY.md differs from the page rendered from the kept results; run {COMMAND}",
            file=sys.stderr,
        )
        return FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
