"""Spans that archives and desks both rest on; each follows from the protocol or from the others. In s."""

QUORUM_CONTACT_VALIDITY = (
    1.0  # that a word of the majority is good for; callers give a manager a second, PROTOCOL
)
CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may run 2% slow; PROTOCOL
MAX_TRANSIT_TIME = 0.3  # for a call on its way, as the pages allow after a thaw (ThawSlackS)
# of a read copy; one that can't be reached holds an effect's answer up as long as a call may take
READ_LEASE_DURATION = 1.0
# until a new reader's first lease: a word's age, a confirmation's way, a second for desks to use it
REPLICA_ANNOUNCEMENT_DELAY = 3.0
CONFIRMATION_VALIDITY = (
    REPLICA_ANNOUNCEMENT_DELAY - QUORUM_CONTACT_VALIDITY - MAX_TRANSIT_TIME
)  # from asking for a confirmation until it is used no more
READ_LEASE_EXPIRY = (
    QUORUM_CONTACT_VALIDITY + READ_LEASE_DURATION * CLOCK_DRIFT_FACTOR + MAX_TRANSIT_TIME
)  # after a reader was taken off until no copy of its can be read
