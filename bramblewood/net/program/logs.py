"""Log lines: structlog, one JSON object a line on standard output."""

import sys

import structlog


def begin() -> None:
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.format_exc_info, structlog.processors.JSONRenderer()],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout), cache_logger_on_first_use=True)
