"""Implements `python -m chutepin agree …`: status, reads and changes of the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import click

from .node_client import OPS_OPTION, NodeRequestError, request, request_line
from .output import show_fields, show_json, show_table, use_json

if TYPE_CHECKING:
    from ..consensus.identity import StoredIdentity
    from ..consensus.messages import Persist
    from ..consensus.persistent_state import PersistentState

NUMERIC_FIELDS = frozenset({"term", "commit", "applied", "log-bytes", "snapshot"})
JSON = click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")


@click.group("agree")
def command() -> None:
    """Inspect and change the replicated log of the cluster."""


def fetch_status(ops: str) -> dict[str, Any]:
    """Fetch a node's status in the replicated log, by field; voters and learners map to their lag in entries."""
    found: dict[str, Any] = {"voters": {}, "learners": {}}
    for words in map(str.split, request(ops, "agree")[1]):
        if words[0] in ("voter", "learner"):
            found[words[0] + "s"][words[1]] = None if words[3] == "-" else int(words[3])
        else:
            found[words[0]] = int(words[1]) if words[0] in NUMERIC_FIELDS else words[1]
    return found


@command.command()
@OPS_OPTION
@JSON
def status(ops: str, json_requested: bool) -> int:
    """Show role, term, leader, commit and applied index, and at the leader the lag of each voter.

    Exit code 1 if no leader is known."""
    found = fetch_status(ops)
    if use_json(json_requested):
        show_json(found)
    else:
        participants = [
            {"name": name, "part": part[:-1], "lacks": "" if lag is None else lag}
            for part in ("voters", "learners")
            for name, lag in found[part].items()
        ]
        show_fields(
            f"replicated log, as {ops} sees it",
            {name: value for name, value in found.items() if name not in ("voters", "learners")},
        )
        show_table("voters and learners", participants)
    return int(found["leader"] == "-")


def _run_command(ops: str, socket_command: str, json_requested: bool) -> int:
    """Send a command and print its answer; return 0 for success and 1 for an unknown outcome.

    Raises NodeRequestError, exit code 2, for a failure."""
    answer = request_line(ops, socket_command)
    if answer.startswith("FAILURE unknown"):
        code = 1
    elif answer.startswith("SUCCESS"):
        code = 0
    else:
        raise NodeRequestError(f"{ops}: {answer}")
    if use_json(json_requested):
        show_json({"answer": answer, "done": code == 0})
    else:
        click.echo(answer)
    return code


@command.command("set")
@click.argument("name")
@click.argument("value")
@click.option(
    "--id",
    "proposal_id",
    default="",
    help="Id of an earlier attempt with unknown outcome; the proposal is applied once.",
)
@OPS_OPTION
@JSON
def set_(name: str, value: str, proposal_id: str, ops: str, json_requested: bool) -> int:
    """Set NAME to VALUE. Exit code 1: the outcome is unknown yet, the answer contains the id."""
    return _run_command(ops, f"agree-set {name} {value} {proposal_id}".strip(), json_requested)


@command.command()
@click.argument("name")
@OPS_OPTION
@JSON
def get(name: str, ops: str, json_requested: bool) -> int:
    """Show the value of NAME, including everything committed before this call."""
    return _run_command(ops, f"agree-get {name}", json_requested)


@command.command("ask")
@click.argument("id")
@click.option("--void", is_flag=True, help="Prevent the proposal from being committed if it is not committed yet.")
@OPS_OPTION
@JSON
def ask_(id: str, void: bool, ops: str, json_requested: bool) -> int:
    """Show the outcome of a proposal whose outcome was unknown."""
    return _run_command(ops, f"agree-{'void' if void else 'ask'} {id}", json_requested)


@command.group()
def voters() -> None:
    """Change the voters, one at a time, at the leader."""


@voters.command()
@click.argument("name")
@OPS_OPTION
@JSON
def add(name: str, ops: str, json_requested: bool) -> int:
    """Add NAME as a learner; called again once the learner has caught up, make it a voter."""
    return _run_command(ops, f"agree-add {name}", json_requested)


@voters.command()
@click.argument("name")
@OPS_OPTION
@JSON
def remove(name: str, ops: str, json_requested: bool) -> int:
    """Remove the voter NAME. A leader that is removed transfers the leadership first."""
    return _run_command(ops, f"agree-remove {name}", json_requested)


@command.command()
@click.argument("name")
@OPS_OPTION
@JSON
def transfer(name: str, ops: str, json_requested: bool) -> int:
    """Transfer the leadership to NAME. The command must be sent to the leader."""
    return _run_command(ops, f"agree-transfer {name}", json_requested)


@command.command()
@OPS_OPTION
@JSON
def snapshot(ops: str, json_requested: bool) -> int:
    """Take a snapshot of this node's state now and truncate the log before the snapshot."""
    return _run_command(ops, "agree-snapshot", json_requested)


class StoredLog(NamedTuple):
    """The replicated log in a node's store."""

    owner: StoredIdentity
    durable: PersistentState
    written: Persist | None  # the change that was written, if any


def open_log(directory: Path, make_change: Callable[[str, PersistentState], Persist] | None = None) -> StoredLog:
    """Read the replicated log from a store that no node has open.

    `make_change`, called with the node's identity and the state, returns a change to write. Raises ClickException for
    a damaged log and NodeRequestError for a store without a log or one that cannot be opened."""
    from ..consensus.errors import JournalError
    from ..consensus.identity import IDENTITY_KEY, Identity, StoredIdentity
    from ..consensus.journal import Journal
    from ..consensus.store_writer import NO_EXPIRY
    from ..store import Store, StoreError

    try:
        with Store.open(directory) as store:
            raw, journal = store.get(IDENTITY_KEY), Journal()
            if raw is None:
                raise NodeRequestError(f"{directory}: the store contains no replicated log")
            owner = StoredIdentity.unpack(raw)
            durable, _ = journal.load(store.get)
            written = None
            if make_change is not None:
                identity = Identity(owner.node, (), owner.store_id, owner.status, {}).identity
                written = make_change(identity, durable)
                for key, value in journal.write(written):
                    store.delete(key) if value is None else store.put(key, value, NO_EXPIRY)
                store.commit()
            return StoredLog(owner, durable, written)
    except JournalError as error:
        raise click.ClickException(f"{directory}: {error}") from None
    except StoreError as error:
        raise NodeRequestError(str(error)) from None


@command.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--cluster", help="The name of the cluster; without the option the command asks for the name.")
def recover(directory: Path, cluster: str | None) -> int:
    """Make the store in DIRECTORY the only voter, after a majority of the voters is permanently lost.

    The node must not run. Exit code 1, without a change, if the given name is not that of the cluster."""
    from ..consensus.recovery import make_only_voter

    owner, durable, _ = open_log(directory)
    click.echo(
        f"{owner.node} holds the log up to {durable.base_index + len(durable.entries)}, term {durable.term}. "
        f"Entries that only other voters hold are lost, even if committed; all entries in this store become "
        f"committed, even if they were not before. No other voter may start again with its old store: "
        f"empty the stores of the other voters first.",
        err=True,
    )
    if (cluster or click.prompt("Type the cluster's name to continue", err=True)) != owner.cluster:
        click.echo(f"the name does not match the cluster of {directory}; nothing has changed", err=True)
        return 1
    written = open_log(directory, make_only_voter).written
    assert written is not None
    click.echo(f"{owner.node} is the only voter from its next start, in term {written.term}")
    return 0


@command.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@JSON
def inspect(directory: Path, json_requested: bool) -> int:
    """Show the replicated log in DIRECTORY; the node must not run. Exit code 1 if the log is damaged."""
    owner, durable, _ = open_log(directory)
    found = {
        "cluster": owner.cluster,
        "node": owner.node,
        "store": owner.store_id,
        "standing": owner.status.value,
        "term": durable.term,
        "vote": durable.voted_for,
        "snapshot": durable.snapshot.up_to_index if durable.snapshot is not None else 0,
        "first": durable.base_index + 1,
        "last": durable.base_index + len(durable.entries),
    }
    if use_json(json_requested):
        show_json(found)
    else:
        show_fields(str(directory), found)
    return 0
