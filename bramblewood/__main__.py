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

# the gateway's commands; what they need is not imported by the manager
ROOMS = (
    "desk",
    "archive",
    "config",
    "roll",
    "holds",
    "sessions",
    "explain",
    "shelf",
    "lab",
    "members",
    "withdraw",
)


def gateway(words: list[str]) -> bool:
    """Whether a call is for the gateway; `check` is the manager's where that one's file is named."""
    if words[:1] == ["check"]:
        return "--boot" in words or "--config" in words or "EDGE_CONFIG" not in os.environ and len(words) == 1
    return words[:1] != [] and words[0] in ROOMS


def run() -> None:
    """The installed command."""
    if gateway(sys.argv[1:]):
        doors = {}
        if sys.argv[1:] == ["desk"]:  # before the rest is imported, which takes tenths of a second
            from .common.listeners import open_listeners_early

            doors = open_listeners_early(("Front", "ReadyProbe"))
        from .cli.gateway import rooms

        rooms(prog_name="bramblewood", obj=doors)
    from .cli.app import main

    sys.exit(main())


if __name__ == "__main__":
    run()
