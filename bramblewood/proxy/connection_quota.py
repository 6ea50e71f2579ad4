"""The room for connections at a worker, which all desks share: who may keep how many idle ones. Pure.

A worker takes `MaxConns` connections from all callers together and resets the rest, and it takes fewer while
its queue is long. Desks don't tell each other what they keep. Each knows how many desks there are, so each
keeps its even part; where that is less than one, lots decide which desks keep one, drawn anew for each worker
and each turn, so that no desk stays without for long. What a desk may not keep it closes right after its use.
"""

import zlib

IDLE_SHARE = 0.5  # of MaxConns that idle connections may take: the other half is for requests under way
LOTTERY_PERIOD = 30.0  # s that a lot stands: some idle times of a worker, PROTOCOL's ten seconds and more


def idle_connection_quota(
    max_connections: int, proxies: int, proxy: str, instance_id: str, now: float
) -> int:
    """Idle connections that this desk may keep to this worker; `connections` 0 is one without a bound."""
    if max_connections <= 0:
        return 2**20
    quota = IDLE_SHARE * max_connections / max(proxies, 1)
    draw = zlib.crc32(f"{proxy} {instance_id} {int(now / LOTTERY_PERIOD)}".encode()) / 2**32
    return int(quota) + (draw < quota % 1.0)
