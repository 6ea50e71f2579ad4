"""Commands about who votes: members, members show, replace, remove, add. All are safe to repeat."""

import json
import sys

import click

from .boot import BOOT
from .exit_codes import FOUND
from .inspection import ARCHIVE, JSON, ask, call, out, places


@click.group(invoke_without_command=True)
@ARCHIVE
@BOOT
@JSON
@click.pass_context
def members(context: click.Context, archive: str | None, boot: str | None, as_json: bool) -> None:
    """Who votes, who stands by, how many more may be lost; replace, remove or add a voter.

    A set of voters changes by one at a time, by the majority of the set before; there is no command that
    goes round that majority. Alone, the command shows.

    Exit codes: 0 taken or sound, 1 refused or too few voters left, 2 nobody answers or faulty words.
    """
    given = {"archive": archive, "boot": boot, "as_json": as_json}
    context.default_map = dict.fromkeys(members.commands, given)
    if context.invoked_subcommand is None:
        context.invoke(members_show, **given)


def of(name: str, one: dict, told: dict) -> str:
    """One archive's line."""
    parts = [f"{name}: {one['state']}"]
    if name != told["me"]:
        parts.append("never heard" if one["heard"] is None else f"heard {one['heard']} s ago")
    if one["epoch"] is not None and one["epoch"] != told["epoch"]:
        parts.append(f"at epoch {one['epoch']}")
    if one["lag"] is None:
        parts.append("how far behind is not known")
    else:
        parts += [f"{what} {lag} version{'s' * (lag != 1)} behind" for what, lag in one["lag"].items() if lag]
    return ", ".join([*parts, f"disk {one['disk']}"] if one["disk"] else parts)


def shown(told: dict) -> list[str]:
    lines = [f"epoch {told['epoch']}, as {told['me']} ({told['state']}) sees it"]
    lines += [of(name, one, told) for name, one in sorted(told["members"].items())]
    lines += [f"no voter: {of(name, one, told)}" for name, one in sorted(told["others"].items())]
    lines += [f"under way: {told['change']}"] if told["change"] else []
    margin = max(told["margin"], 0)
    lines.append(f"{margin} more may be lost and leave a majority, of {told['tolerance']} to be borne")
    return lines + ([f"warning: {thin(told)}"] if thin(told) else [])


def thin(told: dict) -> str:
    """What is wrong where fewer may be lost than are to be borne; nothing if all is well."""
    if told["margin"] >= told["tolerance"]:
        return ""
    if told["margin"] < 0:
        return "no majority: bring lost voters back with their disks (docs/on-call.md)"
    return "fewer than are to be borne: bring lost voters back, or add machines"


@members.command("show")
@ARCHIVE
@BOOT
@JSON
def members_show(archive: str | None, boot: str | None, as_json: bool) -> None:
    """Show the voters and the archives that stand by, as one archive sees them.

    Exit codes: 0 as many may be lost as are to be borne, 1 fewer, 2 nobody answers.
    """
    told = ask(archive, boot, "members")
    out(told, as_json, shown(told))
    sys.exit(FOUND if thin(told) else 0)


def order(body: dict, good: str, archive: str | None, boot: str | None, as_json: bool) -> None:
    status, answer = call(places(archive, boot), "POST", "/members", json.dumps(body).encode())
    answer = json.loads(answer or b"{}")
    reason = answer.get("Failure", "")
    lines = [f"epoch {answer['Epoch']}: {good}" if status == 200 else f"refused: {reason}"]
    out({"status": status, **answer}, as_json, lines)
    sys.exit(0 if status == 200 else FOUND)


@members.command("replace")
@click.argument("old")
@click.argument("new")
@ARCHIVE
@BOOT
@JSON
def members_replace(old: str, new: str, archive: str | None, boot: str | None, as_json: bool) -> None:
    """Give the seat of the voter OLD to the spare NEW, both by address, once NEW has caught up."""
    order({"Do": "replace", "Old": old, "New": new}, f"{new} for {old}", archive, boot, as_json)


@members.command("remove")
@click.argument("name")
@ARCHIVE
@BOOT
@JSON
def members_remove(name: str, archive: str | None, boot: str | None, as_json: bool) -> None:
    """Take the seat of the voter NAME, an address, and give it to nobody: fewer may be lost then."""
    order({"Do": "remove", "Old": name}, f"{name} votes no more", archive, boot, as_json)


@members.command("add")
@click.argument("name")
@ARCHIVE
@BOOT
@JSON
def members_add(name: str, archive: str | None, boot: str | None, as_json: bool) -> None:
    """Give a further seat to the spare NAME, an address, once it has caught up."""
    order({"Do": "add", "New": name}, f"{name} votes", archive, boot, as_json)
