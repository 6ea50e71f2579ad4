"""What a client may send and how long it may take: the configuration's `Limits`. Pure."""

from typing import NamedTuple

from ..common.configuration import Configuration


class ClientLimits(NamedTuple):
    """Limits on a client's connection; the defaults hold without a configuration. Times in s."""

    max_header_bytes: int = 2**14
    max_body_bytes: int = 2**26
    header_timeout: float = 3.0  # for a first request
    idle_timeout: float = 15.0  # between requests

    @classmethod
    def of(cls, configuration: Configuration | None) -> "ClientLimits":
        """Those of a configuration; what it does not name is as without one."""
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
