"""A folder of the embedded store, as the commands `store` and `ledger` read it; and their common options."""

from collections.abc import Callable
from typing import Any

import typer

from .output import fail

FOLDER = typer.Argument(..., help="the store's folder")
JSON = typer.Option(False, "--json", help="one JSON value")


def read_folder(folder: str, read: Callable) -> Any:
    """What `read` finds in a store's folder; nothing there is changed, and a manager may go on meanwhile."""
    from ..store import tools
    from ..store.recovery import Refused

    try:
        return tools.reading(folder, read)
    except (Refused, OSError) as problem:
        fail(f"{folder}: {getattr(problem, 'strerror', None) or problem}")
