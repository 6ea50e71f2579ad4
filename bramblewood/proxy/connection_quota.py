"""How many idle connections each proxy may keep to a worker. Pure.

A worker accepts `MaxConns` connections from all callers together and resets the rest, and it accepts fewer
while its queue is long. Proxies don't tell each other what they keep; each knows how many proxies there are
and takes its even share. Where that is less than one, a lottery decides which proxies keep one, drawn anew
for each worker and period, so that none stays without for long. What a proxy may not keep it closes right
after use.
"""

import zlib

IDLE_FRACTION = 0.5  # of MaxConns that idle connections may take: the other half is for requests in flight
LOTTERY_PERIOD = 30.0  # s that a draw is valid: some idle times of a worker, PROTOCOL's ten seconds and more
UNLIMITED = 2**20


def idle_connection_quota(
    max_connections: int, proxies: int, proxy: str, instance_id: str, now: float
) -> int:
    """Idle connections that this proxy may keep to this worker.

    max_connections: the service's `MaxConns`; 0 for no limit. proxies: how many there are. proxy: this one's
    name. now: s.
    """
    if max_connections <= 0:
        return UNLIMITED
    share = IDLE_FRACTION * max_connections / max(proxies, 1)
    draw = zlib.crc32(f"{proxy} {instance_id} {int(now / LOTTERY_PERIOD)}".encode()) / 2**32
    return int(share) + (draw < share % 1.0)
