"""The stages of a turn, in the order in which they run. A stage that is switched off is not imported.

Events pass the stages before they reach the policy, and the orders of the policy pass them before they go
out. If a stage raises, the exception is logged at a limited rate and the stage is skipped: events pass
unchanged, and of the orders only those pass that its `fallback_orders` returns. A stage cannot call another
stage.
"""

from collections.abc import Callable
from typing import Any, Protocol

from . import events
from .startup_settings import StartupSettings


class Stage(Protocol):
    """The methods that a turn calls on a stage. All times are unix times in s, by the loop's clock."""

    def start(self) -> list[events.Event]:
        """Start the stage; return events for the policy that follow its first worker list."""

    def policy_restarted(self) -> list[events.Event]:
        """Handle a restart of the policy without state; return events that follow its first worker list."""

    def filter_events(self, now: float, batch: list[events.Event]) -> list[events.Event]:
        """Return the events that the policy is to receive in place of these."""

    def filter_orders(self, now: float, orders: list[events.Order]) -> list[events.Order]:
        """Return the orders that may go out now; the stage releases the others in a later turn."""

    def turn(self, now: float, busy: float) -> tuple[list[events.Event], list[events.Order]]:
        """Do the work of one turn, even if there are no events; return resulting events and orders.

        `busy` is the share of the time since the last turn during which the loop did not wait.
        """

    def order_applied(self, order: events.Order) -> None:
        """Record that the relay has carried out an order."""

    def fallback_orders(self, orders: list[events.Order]) -> list[events.Order]:
        """Return those of the orders that may go out although the stage itself has failed."""

    def wake_descriptor(self) -> int | None:
        """Return the file descriptor that wakes the loop, or None; it may differ from turn to turn."""

    def longest_wait(self) -> float | None:
        """Return the longest time in s that the loop may wait, or None if there is no limit."""

    def update_terms(self, terms: Any) -> None:
        """Apply those terms of a reloaded operator's file that take effect without a restart."""

    def close(self) -> None:
        """Complete pending work and release all resources."""


def start_stages(
    operator_file: Any, settings: StartupSettings, seed: str, clock: Callable[[], float], log: Any
) -> list[Stage]:
    """Start and return the stages that the operator's file switches on.

    Raises OSError, or Refused if the store cannot open its folder.
    """
    stages: list[Stage] = []
    if operator_file is not None and operator_file.store:
        from .ledger.stage import Ledger  # records reach the disk before orders go out

        stages.append(Ledger(operator_file.store, settings, seed, clock, log))
    return stages
