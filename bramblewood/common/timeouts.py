"""Durations in seconds that controllers and proxies both rely on; each follows from the protocol or others.

Both programs must use the same values: what one of them still counts on, the other must not have given up.
"""

# for which an answer from a quorum is good; callers give a controller one second, PROTOCOL
QUORUM_CONTACT_VALIDITY = 1.0
# a worker's clock may run 2% slow; PROTOCOL
CLOCK_DRIFT_FACTOR = 1.02
# for a call in transit, as the pages allow after a freeze (ThawSlackS)
MAX_TRANSIT_TIME = 0.3
# of a read replica; one that can't be reached holds up a write's answer as long as a call may take
READ_LEASE_DURATION = 1.0
# until a new reader's first lease: the age of a quorum's answer, the transit of the confirmation, and the
# time in which proxies use it
REPLICA_ANNOUNCEMENT_DELAY = 3.0
# from asking for a confirmation until it is used no more
CONFIRMATION_VALIDITY = REPLICA_ANNOUNCEMENT_DELAY - QUORUM_CONTACT_VALIDITY - MAX_TRANSIT_TIME
# after a reader was removed until no replica that it holds can be read
READ_LEASE_EXPIRY = QUORUM_CONTACT_VALIDITY + READ_LEASE_DURATION * CLOCK_DRIFT_FACTOR + MAX_TRANSIT_TIME
