"""Timeouts and retry intervals of consensus.

They decide how soon a proposal is chosen. Safety does not depend on them.
"""

PHASE_TIMEOUT = 0.25  # s that a phase of a round waits for a majority of the voters
RETRY_BACKOFF_UNIT = 0.04  # s; the wait after a failed round is a multiple of it
MAX_RETRY_BACKOFF_UNITS = 6  # limit of that multiple
UNFINISHED_TIMEOUT = 0.4  # s that an accepted proposal may stay unchosen until another voter completes it
MAX_JOIN_REQUEST_INTERVAL = 2.0  # s between two requests for the state of an epoch, which may be large
COMPLETION_TIMEOUT = 1.0  # s until an attempt to complete a round of another proposer is given up
