"""The command line: `python -m chutepin COMMAND`. Each command's module is loaded when that command is asked for."""

from __future__ import annotations

import importlib
import sys

import click

from ..logs import print_line

# A command to its module here.
COMMANDS = {
    "node": "node",
    "demo": "demo",
    "store": "store",
    "admission": "admission",
    "cluster": "cluster",
    "agree": "consensus",
    "lab": "lab",
}


class LazyGroup(click.Group):
    """A group that loads the module of a command only for it, so that a node pays for no other."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command's object, by convention called `command` in its module."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(f".{COMMANDS[cmd_name]}", __name__).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, invoke_without_command=False)
def cli() -> None:
    """A broker between the services of many teams. With no command: run one node, set up by LB_CONFIG."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command; its exit code. Options without a command are the node's, as they were before commands."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given and given[0].startswith("-") and given[0] != "--help":
        given.insert(0, "node")
    try:
        code = cli.main(given, prog_name="chutepin", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        print_line("interrupted")
        return 130
    return code if isinstance(code, int) else 0
