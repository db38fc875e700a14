"""Implements the command line, `python -m chutepin COMMAND`; the module of a command is imported on demand."""

from __future__ import annotations

import importlib
import sys

import click

from ..logs import print_line

# Maps a command to its module in this package.
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
    """A command group that imports only the module of the command in use, which saves a node's memory."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command's module and return its attribute `command`; None for an unknown name."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(f".{COMMANDS[cmd_name]}", __name__).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, invoke_without_command=False)
def cli() -> None:
    """A broker between the services of many teams.

    Without a command: run one node, configured by LB_CONFIG."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command and return the exit code.

    Options without a command are those of `node`, for compatibility with versions that had no commands."""
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    if command_line and command_line[0].startswith("-") and command_line[0] != "--help":
        command_line.insert(0, "node")
    try:
        code = cli.main(command_line, prog_name="chutepin", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        print_line("interrupted")
        return 130
    return code if isinstance(code, int) else 0
