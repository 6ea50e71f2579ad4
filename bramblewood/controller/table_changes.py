"""Types of changes of the agreed slice table, which placement, drain plans and ejections propose.

A change is a function from the value that stands to the value to propose, as other controllers may have
changed it since this one last looked. It never alters the value that it gets. It gives None where nothing is
to be proposed, and beside it what the proposer is told once the outcome is known: for changes that nobody
waits for, a truth value.
"""

from collections.abc import Callable
from typing import Any

TableValue = dict[str, Any]  # the register's value; its form: `common/slice_table.py`
ProposedTable = tuple[TableValue | None, bool]
TableChange = Callable[[TableValue | None], ProposedTable]


def empty_table() -> TableValue:
    """What stands before the first change."""
    return {"n": 0, "s": {}}
