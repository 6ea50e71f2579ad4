"""How long consensus waits. Safety rests on none of these, only how soon a proposal comes through."""

# s that a phase of a round waits for its majority: many times the transit between zones and a disk sync
PHASE_TIMEOUT = 0.25
RETRY_BACKOFF = 0.04  # s, the unit of waits after a lost round; some times a round's own length
MAX_RETRY_BACKOFF_UNITS = 6  # to which that wait grows
UNFINISHED_TIMEOUT = 0.4  # s that an accepted proposal may stay unchosen before others end its round
MAX_JOIN_INTERVAL = 2.0  # s between two requests for what an epoch holds, at most: a large value travels
