"""`bramblewood --help`: every command of the gateway and of the manager, whichever of both is installed.

Written without click and typer: a machine of the gateway has no typer, one of the manager has no click.
"""

import textwrap

from .command_names import GATEWAY_COMMANDS, MANAGER_COMMANDS

INTRODUCTION = """\
Usage: bramblewood COMMAND [OPTIONS] [ARGS]...

  bramblewood: an API gateway, and a manager that sends proxies the tables of
  who serves which slice.

  Exit codes: 0 done or ended by SIGTERM, 1 damage found or no such thing,
  2 invalid arguments, settings, configuration, folder or address.

Options:
  --help  Show this message and exit; after a command, that command's.
"""
WIDTH = 100  # columns
INDENT = " " * 14


def section(title: str, summaries: dict[str, str]) -> str:
    """One group of commands, a command a line or more."""
    lines = [f"{title}:"]
    for name, summary in summaries.items():
        lines += textwrap.wrap(summary, WIDTH, initial_indent=f"  {name:<12}", subsequent_indent=INDENT)
    return "\n".join(lines)


def overview() -> str:
    """The text of `bramblewood --help`."""
    gateway = {name: summary for name, (_, summary) in GATEWAY_COMMANDS.items()}
    return "\n".join(
        [
            INTRODUCTION,
            section("Commands of the gateway", gateway),
            "",
            section("Commands of the manager in service", MANAGER_COMMANDS),
            "",
            "`check` is the gateway's with --boot or --config, the manager's with a file or EDGE_CONFIG.",
        ]
    )
