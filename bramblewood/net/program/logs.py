"""Log lines: structlog, one JSON object a line on standard output."""

import os
import stat
import sys

import structlog


class Output:
    """Standard output that neither stops nor ends the program: what a full or closed pipe refuses is lost."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write one line, as far as it goes."""
        try:
            os.write(self.descriptor, text.encode())
        except OSError:
            pass

    def flush(self) -> None:
        """Nothing is kept back."""


def begin() -> None:
    """Configure the log of this process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=Output(sys.stdout.fileno())),
        cache_logger_on_first_use=True,
    )
