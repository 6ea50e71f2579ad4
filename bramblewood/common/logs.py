"""Logs: one JSON object a line on standard output, each with step and peer, bounded a second."""

import json
import sys
import time

import logbook

A_SECOND = 40  # lines; a storm of faults must not cost the processor that the work needs


class JsonLineHandler(logbook.Handler):
    """Writes records as JSON lines; beyond the bound of a second only their count."""

    def __init__(self, name: str) -> None:
        super().__init__(logbook.INFO)
        self.name, self.second, self.written, self.dropped = name, 0, 0, 0

    def emit(self, record: logbook.LogRecord) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                self.put(
                    {"node": self.name, "level": "warning", "event": "lines dropped", "count": self.dropped}
                )
            self.second, self.written, self.dropped = second, 0, 0
        self.written += 1
        if self.written > A_SECOND:
            self.dropped += 1
            return
        self.put(
            {"node": self.name, "level": record.level_name.lower(), "event": record.message, **record.kwargs}
        )

    def put(self, line: dict) -> None:
        print(json.dumps(line, default=str), file=sys.stdout, flush=True)


def begin(name: str) -> logbook.Logger:
    """Start the log of this process; logger.info("event", step=..., peer=...) writes a line."""
    JsonLineHandler(name).push_application()
    return logbook.Logger(name)


def started(log: logbook.Logger, unread: tuple[str, ...], **told: object) -> None:
    """A program runs; once, what its settings say that it can't act on."""
    log.info("started", step="start", **told)
    if unread:
        log.warning("settings not known", step="start", what=unread)
