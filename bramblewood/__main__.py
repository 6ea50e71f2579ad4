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

ROOMS = ("desk", "archive")   # the gateway's programs; what they need is not imported by the manager


def run() -> None:
    """The installed command."""
    if sys.argv[1:2] and sys.argv[1] in ROOMS:
        from .cli.rooms import rooms
        rooms(prog_name="bramblewood")
    from .cli.app import main
    sys.exit(main())


if __name__ == "__main__":
    run()
