"""The number of idle connections that each proxy may keep to a worker. No I/O.

A worker accepts `MaxConns` connections from all callers together, and fewer while its queue is long. It
resets all further connections. Proxies do not exchange the number of connections that they keep. Each proxy
takes an equal share, which it computes from the number of proxies. The fractional part of a share is the
probability of one more connection. It is drawn for each worker and period, so that no proxy stays without a
connection for long. A connection beyond the quota is closed after use.
"""

import zlib

IDLE_FRACTION = 0.5  # of MaxConns for idle connections: the other half is reserved for requests in flight
# s for which a draw is valid: several idle time-outs of a worker, which are ten seconds or more in PROTOCOL
LOTTERY_PERIOD = 30.0
UNLIMITED = 2**20  # connections


def idle_connection_quota(
    max_connections: int, proxies: int, proxy: str, instance_id: str, now: float
) -> int:
    """Return the number of idle connections that this proxy may keep to a worker.

    max_connections: `MaxConns` of the service, 0 for no limit. proxies: number of proxies. proxy: name of
    this proxy. now: s.
    """
    if max_connections <= 0:
        return UNLIMITED
    share = IDLE_FRACTION * max_connections / max(proxies, 1)
    draw = zlib.crc32(f"{proxy} {instance_id} {int(now / LOTTERY_PERIOD)}".encode()) / 2**32
    return int(share) + (draw < share % 1.0)
