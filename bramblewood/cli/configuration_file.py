"""Configurations in files, as operators write them."""

import json
from typing import Any

from .output import fail


def read_configuration(path: str) -> Any:
    """The file's JSON value, not yet checked; ends the command where there is none."""
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    except ValueError as problem:
        fail(f"{path}: {problem}")
