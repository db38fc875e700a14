"""Entry of `python -m chutepin`.

Without arguments it is a node, and the library of the command line is not even loaded: that is 3 MB of the 32 MB
which a node on the platform may have."""

from __future__ import annotations

import sys

from . import signals


def main() -> int:
    """Run a node, or the sub-command that was asked for; its exit code."""
    if len(sys.argv) == 1:
        signals.install_handlers()
        from .serve import serve

        return serve()
    from .cli import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
