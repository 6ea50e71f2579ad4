"""Limits on the size and duration of client requests, from `Limits` of the configuration. No I/O."""

from typing import NamedTuple

from ..common.configuration import Configuration


class ClientLimits(NamedTuple):
    """Limits on a client connection. Times are in seconds. The defaults apply without a configuration."""

    max_header_bytes: int = 2**14
    max_body_bytes: int = 2**26
    header_timeout: float = 3.0  # from the connection to the first request
    idle_timeout: float = 15.0  # between two requests

    @classmethod
    def of(cls, configuration: Configuration | None) -> "ClientLimits":
        """Return the limits of a configuration, with the default for each limit that it does not set."""
        if configuration is None or not configuration.limits:
            return DEFAULT_LIMITS
        limits = configuration.limits
        return cls(
            limits.get("MaxHeaderBytes", DEFAULT_LIMITS.max_header_bytes),
            limits.get("MaxBodyBytes", DEFAULT_LIMITS.max_body_bytes),
            limits.get("HeaderTimeoutS", DEFAULT_LIMITS.header_timeout),
            limits.get("IdleTimeoutS", DEFAULT_LIMITS.idle_timeout),
        )


DEFAULT_LIMITS = ClientLimits()
