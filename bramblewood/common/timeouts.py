"""Durations in seconds that controllers and proxies both rely on; each follows from the protocol or others.

Both programs must use the same values: what one of them still counts on, the other must not have given up.
"""

UNACKNOWLEDGED_TIMEOUT_MS = 1000  # that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)
# for which an answer from a quorum is good; callers give a controller one second, PROTOCOL
QUORUM_CONTACT_VALIDITY = 1.0
# a worker's clock may run 2% slow; PROTOCOL
CLOCK_DRIFT_FACTOR = 1.02
# for a call in transit, as the pages allow after a freeze (ThawSlackS)
MAX_TRANSIT_TIME = 0.3
MISSED_HEARTBEATS = 3.2  # a worker's heartbeat intervals after which one that nobody heard counts as silent
# from a call's sending to its arrival at most: lost packets are sent again until the socket gives them up
MAX_CALL_TRANSIT = UNACKNOWLEDGED_TIMEOUT_MS / 1000 + MAX_TRANSIT_TIME
# of a read replica; one that can't be reached holds up a write's answer as long as a call may take
READ_LEASE_DURATION = 1.0
# until a new reader's first lease: the age of a quorum's answer, the transit of the confirmation, and the
# time in which proxies use it
REPLICA_ANNOUNCEMENT_DELAY = 3.0
# from asking for a confirmation until it is used no more
CONFIRMATION_VALIDITY = REPLICA_ANNOUNCEMENT_DELAY - QUORUM_CONTACT_VALIDITY - MAX_TRANSIT_TIME


def lease_expiry(duration: float) -> float:
    """After a change is known until every lease of this duration has expired that rests on an older table.

    The one rule for all leases: a controller sends them on quorum contact only, so the last one leaves while
    contact from before the change is valid; it arrives after a call's longest transit; and it lasts as long
    as its duration on a clock that is as slow as a worker's may be.
    """
    return QUORUM_CONTACT_VALIDITY + MAX_CALL_TRANSIT + duration * CLOCK_DRIFT_FACTOR


READ_LEASE_EXPIRY = lease_expiry(READ_LEASE_DURATION)  # until no replica of a removed reader can be read
