"""The commands of `bramblewood` by name: their modules, what they are for, and the names they had before.

Nothing is imported here: `__main__` reads these names before it knows which command is called, and a program
in service (`serve`, `proxy`, `controller`) must not pay for the other commands. The summaries are the first
sentences of the commands' own help; features/commands.feature keeps both alike.
"""

# commands of the gateway (click): name: (module of this package, summary)
GATEWAY_COMMANDS = {
    "proxy": ("programs", "Run a proxy: take clients' requests and forward them to workers."),
    "controller": (
        "programs",
        "Run a controller: keep the configuration, the worker registry and the tables.",
    ),
    "check": ("settings_check", "Check a settings file, and a configuration."),
    "config": ("config", "The configuration: get, put, diff, history."),
    "workers": ("workers", "Show the workers and their states."),
    "leases": ("leases", "Show key leases: slices, their workers, fencing tokens and expiry."),
    "sessions": ("sessions", "Show which controllers and proxies are connected, as one controller sees it."),
    "explain": ("explain", "Explain which route, slice and worker a request gets."),
    "members": ("members", "Show and change the voting members: show, replace, remove, add."),
    "drain": ("drain", "Take workers out of service, in waves: plan, start, show, stop, back."),
    "rollouts": ("rollouts", "Roll out versions of services: show, start."),
    "storage": ("storage", "Inspect a controller's data folder: check, show, export."),
    "emulator": ("emulator", "Run a gateway on loopback under load and faults, and audit it: run, report."),
}

# commands of the slice-table manager (typer), which runs without the gateway
MANAGER_COMMANDS = {
    "serve": "Run one manager in the foreground, as the configuration that EDGE_CONFIG names tells it.",
    "check": "Read a configuration and say what it would listen on and dial, or what is wrong with it.",
    "version": "Print the version.",
    "store": "A folder of the embedded store.",
    "ledger": "What a manager's store remembers.",
}

# names of earlier releases; they work as before and are not listed
EARLIER_NAMES = {
    "desk": "proxy",
    "archive": "controller",
    "roll": "workers",
    "holds": "leases",
    "shelf": "storage",
    "withdraw": "drain",
    "lab": "emulator",
}


def current_name(name: str) -> str:
    """The name that a command has now."""
    return EARLIER_NAMES.get(name, name)
