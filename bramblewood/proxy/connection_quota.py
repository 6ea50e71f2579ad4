"""The number of idle connections that each proxy may keep to a worker. No I/O.

A worker accepts `MaxConns` connections from all callers together, and fewer while its queue is long. It
resets all further connections. Proxies do not exchange the number of connections that they keep. Each proxy
takes an equal share, which it computes from the number of proxies. The fractional part of a share is the
probability that the quota has one more connection. The proxy draws again for each worker and each period, so
that it does not stay without a connection for long. A connection beyond the quota is closed after use.
"""

import zlib

IDLE_FRACTION = 0.5  # fraction of MaxConns for idle connections; the rest is for requests in flight
# s for which a draw is valid: several times a worker's idle time-out, which is at least ten seconds: PROTOCOL
DRAW_PERIOD = 30.0
UNLIMITED = 2**20  # the quota of a service without a limit, in connections


def idle_connection_quota(
    max_connections: int, proxy_count: int, proxy: str, instance_id: str, now: float
) -> int:
    """Return the number of idle connections that this proxy may keep to a worker.

    max_connections: `MaxConns` of the service, 0 for no limit. proxy: name of this proxy. now: time in s,
    which determines the period of the draw.
    """
    if max_connections <= 0:
        return UNLIMITED
    share = IDLE_FRACTION * max_connections / max(proxy_count, 1)
    draw = zlib.crc32(f"{proxy} {instance_id} {int(now / DRAW_PERIOD)}".encode()) / 2**32
    return int(share) + (draw < share % 1.0)
