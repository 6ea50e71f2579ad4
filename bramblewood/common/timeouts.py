"""Durations in seconds that controllers and proxies both rely on.

Each duration follows from the protocol or from other durations. Both programs must use the same values. If
they differed, one program could still rely on a lease or on a confirmation that the other already treats as
expired.
"""

# ms that sent bytes may stay unacknowledged before the system ends the connection (TCP_USER_TIMEOUT)
UNACKNOWLEDGED_TIMEOUT_MS = 1000
# how long an answer from a quorum stays valid; callers wait one second for a controller: see PROTOCOL
QUORUM_CONTACT_VALIDITY = 1.0
# a worker's clock may run 2% slow: see PROTOCOL
CLOCK_DRIFT_FACTOR = 1.02
# the longest transit of a call without retransmissions; `ThawSlackS` allows the same time after a freeze
MAX_TRANSIT_TIME = 0.3
# a worker is silent if no heartbeat of it arrives for this many of its heartbeat intervals
HEARTBEATS_UNTIL_SILENT = 3.2
# the longest time from sending a call to its arrival, with retransmissions: TCP retransmits packets until
# the socket times out
MAX_CALL_TRANSIT = UNACKNOWLEDGED_TIMEOUT_MS / 1000 + MAX_TRANSIT_TIME
# the duration of a read replica's lease; the response to a write waits until the lease of an unreachable
# replica has expired
READ_LEASE_DURATION = 1.0
# from the announcement of a new reader to its first lease; covers the age of a quorum's answer, the transit
# of the confirmation, and the time in which proxies use the confirmation
REPLICA_ANNOUNCEMENT_DELAY = 3.0
# from the request for a confirmation to the end of the confirmation's use
CONFIRMATION_VALIDITY = REPLICA_ANNOUNCEMENT_DELAY - QUORUM_CONTACT_VALIDITY - MAX_TRANSIT_TIME


def lease_expiry_delay(duration: float) -> float:
    """Return the time in s after which every lease that rests on an older table has expired.

    The time runs from the moment at which a change of the table is known. `duration` is the duration of each
    lease in s.

    A controller sends leases only while it has quorum contact. So the last lease of the older table is sent
    while contact from before the change is still valid. It arrives at most MAX_CALL_TRANSIT later. It then
    lasts for its duration on the slowest clock that a worker may have.
    """
    return QUORUM_CONTACT_VALIDITY + MAX_CALL_TRANSIT + duration * CLOCK_DRIFT_FACTOR


# s until no replica of a removed reader can be read
READ_LEASE_EXPIRY_DELAY = lease_expiry_delay(READ_LEASE_DURATION)
