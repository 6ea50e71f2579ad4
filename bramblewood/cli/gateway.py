"""The gateway's commands as one click group. A command's module is imported when that command is called.

So a program in service has none of the other commands' memory and start-up time. Names of earlier releases
are taken too; a line on standard error names the present one.
"""

import importlib

import click

from .command_names import EARLIER_NAMES, GATEWAY_COMMANDS, current_name
from .output import write_error


class LazyGroup(click.Group):
    """A group of commands that are imported one by one."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Names for `--help`; earlier names are not shown."""
        return list(GATEWAY_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of this present name; None where there is none."""
        if cmd_name not in GATEWAY_COMMANDS:
            return None
        module, _ = GATEWAY_COMMANDS[cmd_name]
        return getattr(importlib.import_module(f".{module}", __package__), cmd_name)

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """The command that the arguments begin with, by its present or its earlier name."""
        if args[0] in EARLIER_NAMES:
            write_error(f"`{args[0]}` is now called `{current_name(args[0])}`")
            args = [current_name(args[0]), *args[1:]]
        return super().resolve_command(ctx, args)


@click.group(
    cls=LazyGroup,
    help="bramblewood: a gateway. Exit codes: 0 done or ended by SIGTERM, 1 damage found or no such thing, "
    "2 invalid arguments, settings, folder or address.",
)
def gateway() -> None:
    """The group itself does nothing."""
