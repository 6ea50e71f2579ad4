"""The gateway's logs: one JSON object per line on standard output, at most `MAX_LINES_PER_SECOND`.

Lines of the level INFO and those above it are counted apart, so that many lines of the first kind, such as
lease calls, don't displace a decision or an error.

Each line has the keys `node`, `level`, `event` and `step`. A line that concerns a peer also has `peer`. A
line that counts dropped lines has `count` in place of `step`.
"""

import json
import sys
import time

import logbook

# limits the processor time that logging takes from requests while many faults occur
MAX_LINES_PER_SECOND = 40


class JsonLineHandler(logbook.Handler):
    """Writes records as JSON lines. Drops and counts the records beyond MAX_LINES_PER_SECOND."""

    def __init__(self, node: str) -> None:
        super().__init__(logbook.INFO)
        self.node = node
        self.second = 0  # the current second of the monotonic clock, which the two counts below belong to
        self.received = self.received_above_info = self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped if MAX_LINES_PER_SECOND is exceeded in this second."""
        second = int(time.monotonic())
        if second != self.second:
            self._begin_second(second)
        if record.level > logbook.INFO:
            self.received_above_info += 1
            received = self.received_above_info
        else:
            self.received += 1
            received = self.received
        if received > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        self._write_line(record.level_name.lower(), record.message, record.kwargs)

    def _begin_second(self, second: int) -> None:
        if self.dropped:
            self._write_line("warning", "lines dropped", {"count": self.dropped})
        self.second, self.received, self.received_above_info, self.dropped = second, 0, 0, 0

    def _write_line(self, level: str, event: str, fields: dict[str, object]) -> None:
        line = {"node": self.node, "level": level, "event": event, **fields}
        print(json.dumps(line, default=str), file=sys.stdout, flush=True)


def start_logging(node: str) -> logbook.Logger:
    """Start the log of this process, and return its logger.

    `logger.info("event", step=..., peer=...)` writes a line.
    """
    JsonLineHandler(node).push_application()
    return logbook.Logger(node)


def log_started(log: logbook.Logger, unsupported: tuple[str, ...], **fields: object) -> None:
    """Log that the program has started, and log the settings that it does not support, if there are any."""
    log.info("started", step="start", **fields)
    if unsupported:
        log.warning("settings not supported", step="start", what=unsupported)
