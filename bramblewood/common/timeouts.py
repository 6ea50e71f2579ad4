"""Spans that archives and desks both rest on; each follows from the protocol or from the others. In s."""

WORD = 1.0  # that a word of the majority is good for; callers give a manager a second, PROTOCOL
SLOW_CLOCK = 1.02  # a worker's clock may run 2% slow; PROTOCOL
TRAVEL = 0.3  # for a call on its way, as the pages allow after a thaw (ThawSlackS)
# of a read copy; one that can't be reached holds an effect's answer up as long as a call may take
LEASE = 1.0
# until a new reader's first lease: a word's age, a confirmation's way, a second for desks to use it
ANNOUNCE = 3.0
SURE = ANNOUNCE - WORD - TRAVEL  # from asking for a confirmation until it is used no more
RUN_OUT = WORD + LEASE * SLOW_CLOCK + TRAVEL  # after a reader was taken off until no copy of its can be read
