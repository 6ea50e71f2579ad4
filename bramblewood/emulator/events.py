"""What happened in a run, and when: printed as it happens, and kept for the report."""

import time
from collections.abc import Callable
from typing import Any


class EventLog:
    """Events since the traffic began; tell: gets a line for each as it happens."""

    def __init__(self, tell: Callable[[str], None]) -> None:
        self.tell = tell
        self.began = time.monotonic()  # s
        self.events: list[dict[str, Any]] = []

    def add(self, what: str, **details: Any) -> None:
        """Note that something happens now."""
        self.events.append({"at": time.monotonic(), "what": what, **details})
        values = " ".join(map(str, details.values()))
        self.tell(f"{time.monotonic() - self.began:6.1f} s  {what}  {values}")

    def since_start(self) -> list[dict[str, Any]]:
        """All events, their times in s from the start of traffic."""
        return [{**event, "at": round(event["at"] - self.began, 2)} for event in self.events]
