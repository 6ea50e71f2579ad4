"""The command line: `python -m bramblewood`; cli/ holds the commands."""

import os
import signal
import sys

# also while the rest is still imported; an exception raised amid an import was seen to be lost there
signal.signal(signal.SIGTERM, lambda _number, _frame: os._exit(0))
# held back till there is a service to read its configuration anew: by itself it would end the process, and
# be lost where the shell that started it has it ignored
signal.signal(signal.SIGHUP, lambda _number, _frame: None)
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from .cli.command_names import GATEWAY_COMMANDS, current_name  # noqa: E402 - signals come first


def is_gateway_call(arguments: list[str]) -> bool:
    """Whether a call is for the gateway; `check` is the manager's where that one's file is named."""
    if arguments[:1] == ["check"]:
        names_settings = "--boot" in arguments or "--config" in arguments
        return names_settings or ("EDGE_CONFIG" not in os.environ and len(arguments) == 1)
    return arguments[:1] != [] and current_name(arguments[0]) in GATEWAY_COMMANDS


def run_gateway_command(arguments: list[str]) -> None:
    """Run one of the gateway's commands, and end the process."""
    early_listeners = {}
    if [current_name(argument) for argument in arguments] == ["proxy"]:
        # before the rest is imported, which takes tenths of a second
        from .common.listeners import open_listeners_early

        early_listeners = open_listeners_early(("Front", "ReadyProbe"))
    from .cli.gateway import gateway

    gateway(prog_name="bramblewood", obj=early_listeners)


def run() -> None:
    """The installed command."""
    arguments = sys.argv[1:]
    if arguments == ["--help"]:
        from .cli.overview import overview

        print(overview())
        return
    if is_gateway_call(arguments):
        run_gateway_command(arguments)
    from .cli.app import main

    sys.exit(main())


if __name__ == "__main__":
    run()
