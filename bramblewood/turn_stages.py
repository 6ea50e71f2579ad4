"""The stages of a turn, in their order; one that is off is not imported.

Events pass them downward before the module is asked, its orders after it. A stage that raises is told once a
while and passed over with what its `safe` lets through; it can't call another.
"""

from collections.abc import Callable
from typing import Any, Protocol

from . import events
from .startup_settings import StartupSettings


class Stage(Protocol):
    """What a turn asks of a stage. All times are unix time in s, by the loop's clock."""

    def begin(self) -> list[events.Event]: ...
    def forgotten(self) -> list[events.Event]: ...
    def hear(self, now: float, batch: list[events.Event]) -> list[events.Event]: ...
    def say_orders(self, now: float, orders: list[events.Order]) -> list[events.Order]: ...
    def turn(self, now: float, busy: float) -> tuple[list[events.Event], list[events.Order]]: ...
    def carried(self, order: events.Order) -> None: ...
    def safe(self, orders: list[events.Order]) -> list[events.Order]: ...
    def waker(self) -> int | None: ...
    def longest_wait(self) -> float | None: ...
    def end(self) -> None: ...


def begin(
    bylaws: Any, settings: StartupSettings, seed: str, clock: Callable[[], float], log: Any
) -> list[Stage]:
    """The stages that the operator's file switches on; raises OSError or a Refused of the store."""
    stages: list[Stage] = []
    if bylaws is not None and bylaws.store:
        from .ledger.stage import Ledger  # what must last is on the disc before it goes out

        stages.append(Ledger(bylaws.store, settings, seed, clock, log))
    return stages
