"""Log lines about what happens at the edge: the first of its kind at once, the next ones counted."""

from collections.abc import Callable

SPAN = 10.0  # s in which further notices of one kind are only counted
KINDS = 256  # kinds remembered; more come only from what strangers send


class Notices:
    """A log that says each kind of notice once in a while."""

    def __init__(self, log, clock: Callable[[], float]) -> None:
        self.log, self.clock = log, clock
        self.kinds: dict[tuple, list] = {}  # kind: when last said, and how many since

    def say(self, what: str, party: str = "", **more) -> None:
        """Log a notice, or count it."""
        now = self.clock()
        if (what, party) not in self.kinds and len(self.kinds) >= KINDS:
            self.kinds.clear()
        said = self.kinds.setdefault((what, party), [now - SPAN, 0])
        if now < said[0] + SPAN:
            said[1] += 1
            return
        if said[1]:
            more["unsaid_before"] = said[1]
        said[:] = [now, 0]
        self.log.warning(what, party=party, **more)
