"""Types of the changes of the agreed slice table that placement, drain plans and ejections propose.

A change is a function from the present table to the table to propose. It is called with the table that
is agreed when the proposal is made, because other controllers may change the table until then. It never
modifies the table that it gets. It returns the new table, or None if there is nothing to propose, together
with the outcome that the proposer receives when the proposal has finished. The outcome is a bool if no caller
waits for a result.
"""

from collections.abc import Callable
from typing import Any

TableValue = dict[str, Any]  # the value of the table's register; `common/slice_table.py` describes it
ProposedTable = tuple[TableValue | None, bool]
TableChange = Callable[[TableValue | None], ProposedTable]


def empty_table() -> TableValue:
    """Return the table before the first change: version 0, without services."""
    return {"n": 0, "s": {}}
