"""The gateway's logs: one JSON object a line on standard output, at most `MAX_LINES_PER_SECOND`.

Each line has `node`, `level`, `event` and `step`, and `peer` where there is one.
"""

import json
import sys
import time

import logbook

MAX_LINES_PER_SECOND = 40  # a storm of faults must not cost the processor time that requests need


class JsonLineHandler(logbook.Handler):
    """Writes records as JSON lines; of those beyond the limit of a second only their count."""

    def __init__(self, node: str) -> None:
        super().__init__(logbook.INFO)
        self.node = node
        self.second = 0  # of the monotonic clock, in which the counts below were taken
        self.written = self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        second = int(time.monotonic())
        if second != self.second:
            self._begin_second(second)
        self.written += 1
        if self.written > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        self._write_line(record.level_name.lower(), record.message, record.kwargs)

    def _begin_second(self, second: int) -> None:
        if self.dropped:
            self._write_line("warning", "lines dropped", {"count": self.dropped})
        self.second, self.written, self.dropped = second, 0, 0

    def _write_line(self, level: str, event: str, fields: dict[str, object]) -> None:
        line = {"node": self.node, "level": level, "event": event, **fields}
        print(json.dumps(line, default=str), file=sys.stdout, flush=True)


def start_logging(node: str) -> logbook.Logger:
    """Start the log of this process; `logger.info("event", step=..., peer=...)` writes a line."""
    JsonLineHandler(node).push_application()
    return logbook.Logger(node)


def log_started(log: logbook.Logger, unsupported: tuple[str, ...], **fields: object) -> None:
    """Log that the program runs, and once what its settings say that it can't act on."""
    log.info("started", step="start", **fields)
    if unsupported:
        log.warning("settings not known", step="start", what=unsupported)
