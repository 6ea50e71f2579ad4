"""The stages of a turn, in their order; one that is off is not imported.

Events pass the stages on their way to the policy, and its orders on their way out. A stage that raises is
logged, now and then, and passed over: events go on as they are, orders by what its `fallback_orders` lets
through. A stage can't call another.
"""

from collections.abc import Callable
from typing import Any, Protocol

from . import events
from .startup_settings import StartupSettings


class Stage(Protocol):
    """What a turn asks of a stage. All times are unix time in s, by the loop's clock."""

    def start(self) -> list[events.Event]:
        """Begin; what the policy is told behind its first worker list."""

    def policy_restarted(self) -> list[events.Event]:
        """The policy began anew, knowing nothing; what it is told behind its first worker list."""

    def filter_events(self, now: float, batch: list[events.Event]) -> list[events.Event]:
        """The events as the policy is to be told them."""

    def filter_orders(self, now: float, orders: list[events.Order]) -> list[events.Order]:
        """The orders that may go out now; the stage gives out others in a later turn."""

    def turn(self, now: float, busy: float) -> tuple[list[events.Event], list[events.Order]]:
        """Work once a turn, whatever came; events and orders that it leads to.

        `busy` is the share of the time since the last turn in which the loop did not wait.
        """

    def order_applied(self, order: events.Order) -> None:
        """The relay has carried out an order."""

    def fallback_orders(self, orders: list[events.Order]) -> list[events.Order]:
        """The orders that may go out where the stage itself has failed."""

    def wake_descriptor(self) -> int | None:
        """A file descriptor that is to wake the loop, if any; it may change."""

    def longest_wait(self) -> float | None:
        """How long the loop may wait at most, in s; None: as long as it likes."""

    def update_terms(self, terms: Any) -> None:
        """The operator's file was read anew: what can take effect at once does."""

    def close(self) -> None:
        """Finish what waits and release everything."""


def start_stages(
    bylaws: Any, settings: StartupSettings, seed: str, clock: Callable[[], float], log: Any
) -> list[Stage]:
    """The stages that the operator's file switches on; raises OSError or a Refused of the store."""
    stages: list[Stage] = []
    if bylaws is not None and bylaws.store:
        from .ledger.stage import Ledger  # what must last is on the disk before it goes out

        stages.append(Ledger(bylaws.store, settings, seed, clock, log))
    return stages
