"""Leaves: a worker's `draining` or last call is confirmed once a majority of the voters holds it. Pure.

Each call is a round of its own, also a repeated one: the row goes to all archives, each answers that its roll
has it, or a newer one. Who answers holds it from then on and tells all desks that it is linked to, so a desk
hears of a leave by as many ways as there are holders. Archives that don't vote hold rows too, and are not
counted, nor are voters of another epoch: one that is sealed may have told its successors before it heard of
the leave, while one that is not tells them the row before it tells what its epoch has chosen. A round is
void once HELD_WITHIN have passed by the asker's clock: what waited in a socket through a freeze confirms
nothing.
"""

import itertools
from collections.abc import Collection

HELD_WITHIN = 0.6  # s that a leave waits for its majority: the caller goes elsewhere after a second, PROTOCOL


class Deregistrations:
    """The rounds under way at one archive."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.numbers = itertools.count(1)
        self.rounds: dict[int, tuple[float, dict[str, int]]] = {}  # when asked; who holds the row, its epoch

    def ask(self, now: float) -> int:
        """Begin a round; we hold the row ourselves. The number by which archives answer."""
        number = next(self.numbers)
        self.rounds[number] = (now, {})
        return number

    def held(self, number: int, peer: str, epoch: int) -> None:
        """It holds the row, and was an active voter of this epoch as it said so; -1 for none."""
        if number in self.rounds:
            self.rounds[number][1][peer] = epoch

    def confirmed(self, now: float, number: int, voters: Collection[str], epoch: int, contact: bool) -> bool:
        """Whether a majority of the voters of this epoch holds it; contact: whether a majority was heard
        within a word's time, which also says that these still are the voters.
        """
        asked, holders = self.rounds[number]
        held = {self.me, *(peer for peer, at in holders.items() if at == epoch)}.intersection(voters)
        return bool(voters) and 2 * len(held) > len(voters) and contact and now < asked + HELD_WITHIN

    def end(self, number: int) -> None:
        del self.rounds[number]
