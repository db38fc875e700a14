"""`python -m chutepin agree …`: the log in common, as one node shows it, and what operators change."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import click

from .node_client import OPS_OPTION, NodeRequestError, request, request_line
from .output import as_json, show_fields, show_json, show_table

if TYPE_CHECKING:
    from ..consensus.identity import StoredIdentity
    from ..consensus.messages import Persist
    from ..consensus.persistent_state import PersistentState

NUMBERS = frozenset({"term", "commit", "applied", "log-bytes", "snapshot"})
JSON = click.option("--json", "json_asked", is_flag=True, help="Print JSON also on a terminal.")


@click.group("agree")
def command() -> None:
    """What the fleet has agreed on, and who agrees."""


def status_of(ops: str) -> dict[str, Any]:
    """A node's part in the log, by field; voters and learners with what they lack."""
    found: dict[str, Any] = {"voters": {}, "learners": {}}
    for words in map(str.split, request(ops, "agree")[1]):
        if words[0] in ("voter", "learner"):
            found[words[0] + "s"][words[1]] = None if words[3] == "-" else int(words[3])
        else:
            found[words[0]] = int(words[1]) if words[0] in NUMBERS else words[1]
    return found


@command.command()
@OPS_OPTION
@JSON
def status(ops: str, json_asked: bool) -> int:
    """Role, term, leader, how far all is agreed and applied; at the leader what each voter lacks.

    Exit code 1 while no leader is known."""
    found = status_of(ops)
    if as_json(json_asked):
        show_json(found)
    else:
        parties = [
            {"name": name, "part": part[:-1], "lacks": "" if lag is None else lag}
            for part in ("voters", "learners")
            for name, lag in found[part].items()
        ]
        show_fields(
            f"the log in common, as {ops} shows it",
            {name: value for name, value in found.items() if name not in ("voters", "learners")},
        )
        show_table("who takes part", parties)
    return int(found["leader"] == "-")


def _said(ops: str, call: str, json_asked: bool) -> int:
    """Show a call's one line; the exit code is 0 for what was done, 1 for what is not known, 2 for what was not."""
    answer = request_line(ops, call)
    if answer.startswith("FAILURE unknown"):
        code = 1
    elif answer.startswith("SUCCESS"):
        code = 0
    else:
        raise NodeRequestError(f"{ops}: {answer}")
    if as_json(json_asked):
        show_json({"answer": answer, "done": code == 0})
    else:
        click.echo(answer)
    return code


@command.command("set")
@click.argument("name")
@click.argument("value")
@click.option("--id", "known", default="", help="Of an earlier try whose outcome is unknown: it counts once.")
@OPS_OPTION
@JSON
def set_(name: str, value: str, known: str, ops: str, json_asked: bool) -> int:
    """Agree on NAME = VALUE. Exit code 1: not known yet, the answer has the id."""
    return _said(ops, f"agree-set {name} {value} {known}".strip(), json_asked)


@command.command()
@click.argument("name")
@OPS_OPTION
@JSON
def get(name: str, ops: str, json_asked: bool) -> int:
    """What NAME is, with all that was agreed before this call."""
    return _said(ops, f"agree-get {name}", json_asked)


@command.command("ask")
@click.argument("id")
@click.option("--void", is_flag=True, help="If it was not agreed by now, it never will be.")
@OPS_OPTION
@JSON
def ask_(id: str, void: bool, ops: str, json_asked: bool) -> int:
    """What has become of a proposal whose outcome was unknown."""
    return _said(ops, f"agree-{'void' if void else 'ask'} {id}", json_asked)


@command.group()
def voters() -> None:
    """Who votes; one at a time, at the leader."""


@voters.command()
@click.argument("name")
@OPS_OPTION
@JSON
def add(name: str, ops: str, json_asked: bool) -> int:
    """Let NAME learn; called again, once it has caught up, let it vote."""
    return _said(ops, f"agree-add {name}", json_asked)


@voters.command()
@click.argument("name")
@OPS_OPTION
@JSON
def remove(name: str, ops: str, json_asked: bool) -> int:
    """Let NAME vote no more. A leader that is to go hands over first."""
    return _said(ops, f"agree-remove {name}", json_asked)


@command.command()
@click.argument("name")
@OPS_OPTION
@JSON
def transfer(name: str, ops: str, json_asked: bool) -> int:
    """Have NAME lead. To be asked of the leader."""
    return _said(ops, f"agree-transfer {name}", json_asked)


@command.command()
@OPS_OPTION
@JSON
def snapshot(ops: str, json_asked: bool) -> int:
    """Keep this node's state now, and let go of its log before it."""
    return _said(ops, "agree-snapshot", json_asked)


class StoredLog(NamedTuple):
    """What a store holds of the replicated log."""

    owner: StoredIdentity
    durable: PersistentState
    written: Persist | None  # by the work that was asked for


def open_log(directory: Path, work: Callable[[str, PersistentState], Persist] | None = None) -> StoredLog:
    """Read a store that no node has open; where there is `work` to do by the node's identity, write what it returns.

    Raises ClickException for damage, NodeRequestError where there is nothing."""
    from ..consensus.errors import JournalError
    from ..consensus.identity import IDENTITY_KEY, Identity, StoredIdentity
    from ..consensus.journal import Journal
    from ..consensus.store_writer import NO_EXPIRY
    from ..store import Store, StoreError

    try:
        with Store.open(directory) as store:
            raw, journal = store.get(IDENTITY_KEY), Journal()
            if raw is None:
                raise NodeRequestError(f"{directory}: there is no log in it")
            owner = StoredIdentity.unpack(raw)
            durable, _ = journal.load(store.get)
            written = None
            if work is not None:
                identity = Identity(owner.node, (), owner.store_id, owner.status, {}).identity
                written = work(identity, durable)
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
@click.option("--cluster", help="Its name, in place of typing it when asked.")
def recover(directory: Path, cluster: str | None) -> int:
    """Make the store in DIRECTORY the only voter, after a majority of the voters is lost for good.

    The node must not run. Exit code 1 if the name was not the cluster's: nothing has changed."""
    from ..consensus.recovery import make_only_voter

    owner, durable, _ = open_log(directory)
    click.echo(
        f"{owner.node} holds the log up to {durable.base_index + len(durable.entries)}, term {durable.term}. "
        f"What only the others had is lost, also where it was agreed; what stands here counts as agreed, "
        f"also where it never was. None of the other voters may ever start with its old store again: "
        f"empty those first.",
        err=True,
    )
    if (cluster or click.prompt("The cluster's name, to go on", err=True)) != owner.cluster:
        click.echo(f"that is not the name of the cluster of {directory}; nothing has changed", err=True)
        return 1
    written = open_log(directory, make_only_voter).written
    assert written is not None
    click.echo(f"{owner.node} votes alone from its next start on, in term {written.term}")
    return 0


@command.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@JSON
def inspect(directory: Path, json_asked: bool) -> int:
    """What the store in DIRECTORY holds of the log; the node must not run. Exit code 1 if it is damaged."""
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
    if as_json(json_asked):
        show_json(found)
    else:
        show_fields(str(directory), found)
    return 0
