"""The commands `members [show]|replace|remove|add`: which controllers vote. All are safe to repeat."""

import sys

import click

from .controller_client import get_view, post_order
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, CONTROLLER, JSON
from .output import write_result
from .views import MembershipView, MemberView

PATH = "/members"  # of orders about the voting members


@click.group(invoke_without_command=True)
@CONTROLLER
@BOOT
@JSON
@click.pass_context
def members(context: click.Context, controller: str | None, boot: str | None, as_json: bool) -> None:
    """Show and change the voting members: show, replace, remove, add.

    A set of voters changes by one at a time, by the majority of the set before; there is no command that
    goes round that majority. Alone, the command shows.

    Exit codes: 0 taken or sound, 1 refused or too few voters left, 2 nobody answers or invalid arguments.
    """
    given = {"controller": controller, "boot": boot, "as_json": as_json}
    context.default_map = dict.fromkeys(members.commands, given)
    if context.invoked_subcommand is None:
        context.invoke(show, **given)


def member_line(name: str, member: MemberView, view: MembershipView) -> str:
    """One controller: its state, when it was heard, how far behind it is, its disk."""
    parts = [f"{name}: {member['state']}"]
    if name != view["me"]:
        parts.append("never heard" if member["heard"] is None else f"heard {member['heard']} s ago")
    if member["epoch"] is not None and member["epoch"] != view["epoch"]:
        parts.append(f"at epoch {member['epoch']}")
    if member["lag"] is None:
        parts.append("how far behind is not known")
    else:
        parts += [
            f"{register} {lag} version{'s' * (lag != 1)} behind"
            for register, lag in member["lag"].items()
            if lag
        ]
    return ", ".join([*parts, f"disk {member['disk']}"] if member["disk"] else parts)


def membership_lines(view: MembershipView) -> list[str]:
    """The set of voters, the controllers that stand by, a change under way and the margin, for people."""
    lines = [f"epoch {view['epoch']}, as {view['me']} ({view['state']}) sees it"]
    lines += [member_line(name, member, view) for name, member in sorted(view["members"].items())]
    lines += [f"no voter: {member_line(name, spare, view)}" for name, spare in sorted(view["others"].items())]
    lines += [f"under way: {view['change']}"] if view["change"] else []
    margin = max(view["margin"], 0)
    lines.append(f"{margin} more may be lost and leave a majority, of {view['tolerance']} to be borne")
    warning = margin_warning(view)
    return lines + ([f"warning: {warning}"] if warning else [])


def margin_warning(view: MembershipView) -> str:
    """What is wrong where fewer voters may be lost than are to be borne; empty if all is well."""
    if view["margin"] >= view["tolerance"]:
        return ""
    if view["margin"] < 0:
        return "no majority: bring lost voters back with their disks (docs/on-call.md)"
    return "fewer than are to be borne: bring lost voters back, or add machines"


@members.command("show")
@CONTROLLER
@BOOT
@JSON
def show(controller: str | None, boot: str | None, as_json: bool) -> None:
    """Show the voters and the controllers that stand by, as one controller sees them.

    Exit codes: 0 as many may be lost as are to be borne, 1 fewer, 2 nobody answers.
    """
    view = get_view(controller, boot, "members")
    write_result(view, as_json, membership_lines(view))
    sys.exit(PROBLEM_FOUND if margin_warning(view) else SUCCESS)


def send_order(order: dict, success: str, controller: str | None, boot: str | None, as_json: bool) -> None:
    """Send an order, show whether it was taken, and end the command."""
    response = post_order(controller, boot, PATH, order)
    taken, answer = response.status == 200, response.json()
    line = f"epoch {answer['Epoch']}: {success}" if taken else f"refused: {answer.get('Failure', '')}"
    write_result({"status": response.status, **answer}, as_json, [line])
    sys.exit(SUCCESS if taken else PROBLEM_FOUND)


@members.command("replace")
@click.argument("old")
@click.argument("new")
@CONTROLLER
@BOOT
@JSON
def replace(old: str, new: str, controller: str | None, boot: str | None, as_json: bool) -> None:
    """Give the seat of the voter OLD to the spare NEW, both by address, once NEW has caught up."""
    send_order({"Do": "replace", "Old": old, "New": new}, f"{new} for {old}", controller, boot, as_json)


@members.command("remove")
@click.argument("name")
@CONTROLLER
@BOOT
@JSON
def remove(name: str, controller: str | None, boot: str | None, as_json: bool) -> None:
    """Take the seat of the voter NAME, an address, and give it to nobody: fewer may be lost then."""
    send_order({"Do": "remove", "Old": name}, f"{name} votes no more", controller, boot, as_json)


@members.command("add")
@click.argument("name")
@CONTROLLER
@BOOT
@JSON
def add(name: str, controller: str | None, boot: str | None, as_json: bool) -> None:
    """Give a further seat to the spare NAME, an address, once it has caught up."""
    send_order({"Do": "add", "New": name}, f"{name} votes", controller, boot, as_json)
