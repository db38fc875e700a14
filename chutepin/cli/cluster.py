"""Implements `python -m chutepin cluster members|links|watch`: the membership view of a node."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import click

from .node_client import OPS_OPTION, parse_rows, request
from .output import show_json, show_table, use_json

if TYPE_CHECKING:
    from rich.console import RenderableType

MEMBER = {"name": str, "state": str, "incarnation": int, "region": str, "zone": str, "address": str}
LINK = {"from": str, "to": str, "since_s": float}
WATCH_INTERVAL_S = 1.0
MAX_SHOWN_CHANGES = 12
COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}
JSON = click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")


@click.group("cluster")
def command() -> None:
    """Show the membership of the cluster as one node sees it."""


def exit_code(members: list[dict[str, Any]]) -> int:
    """Return 1 if a member is suspect or dead, else 0."""
    return int(any(member["state"] in ("suspect", "dead") for member in members))


@command.command()
@OPS_OPTION
@JSON
def members(ops: str, json_requested: bool) -> int:
    """List all members; exit code 1 if a member is suspect or dead."""
    found = parse_rows(request(ops, "members")[1], MEMBER)
    if use_json(json_requested):
        show_json(found)
    else:
        show_table(f"members, as {ops} sees them", [{**row, "incarnation": str(row["incarnation"])} for row in found])
    return exit_code(found)


@command.command()
@OPS_OPTION
@JSON
def links(ops: str, json_requested: bool) -> int:
    """List the links that fail in one direction, and since when."""
    found = parse_rows(request(ops, "links")[1], LINK)
    if use_json(json_requested):
        show_json(found)
    elif found:
        show_table(f"bad links, as {ops} sees them", found)
    else:
        click.echo("no bad links")
    return 0


def fetch_changes(ops: str) -> list[dict[str, Any]]:
    """Return the latest membership changes, oldest first."""
    found = []
    for line in request(ops, "changes")[1]:
        number, age, what, member, incarnation, *fields = line.split()
        found.append(
            {
                "number": int(number),
                "age_s": int(age) / 1000,
                "what": what,
                "member": member,
                "incarnation": int(incarnation),
                **dict(field.partition("=")[::2] for field in fields),
            }
        )
    return found


def fetch_snapshot(ops: str) -> dict[str, Any]:
    """Fetch the view, members, links and changes that `watch` displays."""
    return {
        "view": dict(line.split(maxsplit=1) for line in request(ops, "view")[1]),
        "members": parse_rows(request(ops, "members")[1], MEMBER),
        "links": parse_rows(request(ops, "links")[1], LINK),
        "changes": fetch_changes(ops)[-MAX_SHOWN_CHANGES:],
    }


def poll_snapshots(ops: str, seconds: float) -> Iterator[dict[str, Any]]:
    """Yield a snapshot each second for this many seconds; endlessly for 0."""
    until = time.monotonic() + seconds
    while True:
        yield fetch_snapshot(ops)
        if seconds and time.monotonic() + WATCH_INTERVAL_S > until:
            return
        time.sleep(WATCH_INTERVAL_S)


def describe_change(change: dict[str, Any]) -> str:
    """Describe a membership change: its kind and the member that reported it."""
    by = change.get("by")
    match change["what"]:
        case "suspect":
            return f"suspected by {by}"
        case "confirmed":
            return f"{by} cannot reach the member either"
        case "dead":
            return f"declared dead by {by}, which probed the member until the suspicion timeout"
        case "refuted":
            return f"refuted, incarnation {change['incarnation']}" + (f" (accused by {by})" if by else "")
        case "withdrawn":
            return f"{by} received an answer and withdrew the suspicion"
        case "link_bad" | "link_good":
            return (
                f"{change.get('source')} is {'not ' * (change['what'] == 'link_bad')}received by {change.get('target')}"
            )
        case _:
            return str(change["what"]).replace("_", " ")


def render_view(ops: str, snapshot: dict[str, Any]) -> RenderableType:
    """Render a snapshot: members by zone, bad links and the last changes with their causes."""
    from rich.columns import Columns
    from rich.console import Group
    from rich.panel import Panel
    from rich.table import Table
    from rich.text import Text

    zones: dict[str, Text] = {}
    for member in snapshot["members"]:
        text = zones.setdefault(f"{member['region']}/{member['zone']}", Text())
        text.append(f"{member['name']} {member['state']}\n", COLOURS[member["state"]])
    table = Table("age", "member", "why", title="last changes", expand=True)
    for change in reversed(snapshot["changes"]):
        table.add_row(f"{change['age_s']:.1f} s", change["member"], describe_change(change))
    view = snapshot["view"]
    head = f"{ops}: health {view['health']}" + (", isolated" * (view["isolated"] == "yes"))
    bad = ", ".join(f"{link['from']} → {link['to']} for {link['since_s']:.0f} s" for link in snapshot["links"])
    return Group(
        head,
        Columns([Panel(text, title=zone) for zone, text in sorted(zones.items())]),
        f"bad links: {bad or 'none'}",
        table,
    )


@command.command()
@OPS_OPTION
@JSON
@click.option("--seconds", type=click.FloatRange(0), default=0.0, help="Duration; 0: until interrupted.")
def watch(ops: str, json_requested: bool, seconds: float) -> int:
    """Show a live view by zone with the last changes and their causes; JSON prints one object a second."""
    last: list[dict[str, Any]] = []
    if use_json(json_requested):
        for snapshot in poll_snapshots(ops, seconds):
            last = snapshot["members"]
            show_json(snapshot)
        return exit_code(last)
    try:
        from rich.live import Live
    except ImportError:
        raise click.ClickException("the live view needs requirements-tools.txt; or use --json") from None
    with Live() as live:
        for snapshot in poll_snapshots(ops, seconds):
            last = snapshot["members"]
            live.update(render_view(ops, snapshot))
    return exit_code(last)
