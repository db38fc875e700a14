"""Entry point of `python -m chutepin`.

Without arguments the process runs a node and does not import the command-line library, which takes 3 MB of the 32 MB
that a node on the platform may use."""

from __future__ import annotations

import sys

from . import signals


def main() -> int:
    """Run a node, or the sub-command given in the arguments, and return the exit code."""
    if len(sys.argv) == 1:
        signals.install_handlers()
        from .serve import serve

        return serve()
    from .cli import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
