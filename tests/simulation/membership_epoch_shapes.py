"""The small clusters whose events are searched exhaustively, by the names that the features use."""

from typing import NamedTuple


class Shape(NamedTuple):
    """A cluster and the events that may occur in it. A string of machines has one letter for each machine.

    `delivers_replies_at_once` and `writes_at_once` reduce the number of states. `membership_epoch_search`
    describes them.
    """

    voters: str
    spares: str
    configurations: tuple  # (proposer, digest) of each configuration that is put, all with the same parent
    # (proposer, seat, successor) of each change of the voter set; the successor is "" if the seat goes to the
    # new disk of its machine
    changes: tuple = ()
    disk_losses: str = ""  # machines that may lose their disks
    power_losses: str = ""  # machines that may lose power
    waits: str = ""  # machines whose timeouts may expire
    limits: tuple[int, int, int, int] = (1, 1, 1, 1)  # the most disk losses, power losses, waits, changes
    delivers_replies_at_once: bool = True
    writes_at_once: bool = True
    first_moves: tuple = ()  # moves that have occurred in the initial state, see `Search.named_move`


CONFIGURATIONS = (("c", "x"), ("a", "y"))
SHAPES = {
    # a spare puts a configuration, and a voter that has lost its disk gets its seat back
    "lost disk": Shape("abc", "d", (("d", "x"), ("b", "y")), (("b", "a", ""),), disk_losses="a"),
    # any voter loses its disk, and its seat goes to its new disk or to the spare
    "any lost disk": Shape(
        "abc",
        "d",
        (("d", "x"), ("b", "y")),
        (("b", "a", ""), ("c", "b", ""), ("a", "c", ""), ("b", "a", "d")),
        disk_losses="abc",
    ),
    # a spare gets the seat of a voter that continues in the old epoch
    "spare": Shape("abc", "d", CONFIGURATIONS, (("a", "c", "d"),), limits=(0, 0, 0, 1)),
    # as in "spare"; the proposer of the change or another voter may also lose power
    "power loss": Shape(
        "abc", "d", CONFIGURATIONS, (("a", "c", "d"),), power_losses="ab", limits=(0, 1, 0, 1)
    ),
    # the next voter set has been chosen, and its proposer is active in the new epoch
    "after a chosen change": Shape(
        "abc",
        "d",
        CONFIGURATIONS,
        (("a", "c", "d"),),
        power_losses="b",
        limits=(0, 1, 0, 1),
        first_moves=("change 0", "prepare a>b", "accept a>b", "join a>b"),
    ),
    # two configurations have been accepted by one voter each, and then a voter set change is proposed
    "two unfinished proposals": Shape(
        "abc",
        "d",
        (("a", "x"), ("c", "z"), ("b", "y")),
        (("b", "c", "d"),),
        waits="a",
        limits=(0, 0, 1, 1),
        first_moves=(
            "configuration x",
            "prepare a>b",
            "configuration z",
            "prepare c>b",
            "change 0",
            "prepare b>a",
            "accept b>a",
        ),
    ),
    # a configuration has been chosen, after which the voter set may change
    "change after a chosen value": Shape(
        "abc",
        "d",
        CONFIGURATIONS,
        (("a", "c", "d"),),
        disk_losses="b",
        limits=(1, 0, 0, 1),
        first_moves=("configuration x", "prepare c>b", "accept c>b"),
    ),
    # two voters may propose a change at the same time, a configuration is put, and a disk may be lost
    "two concurrent changes": Shape(
        "abc", "d", (("a", "x"),), (("a", "c", "d"), ("b", "a", "d")), disk_losses="a", limits=(1, 0, 0, 2)
    ),
    # a second change may follow right after the first one is chosen, and a disk may be lost
    "second change": Shape(
        "abc",
        "d",
        (("a", "x"),),
        (("a", "c", "d"), ("b", "a", "d")),
        disk_losses="a",
        limits=(1, 0, 0, 2),
        first_moves=("change 0", "prepare a>b", "accept a>b"),
    ),
    # each write is a move of its own, after which the messages that wait for it are sent
    "slow disks": Shape(
        "abc",
        "d",
        (("b", "x"),),
        (("a", "c", "d"),),
        power_losses="ab",
        limits=(0, 1, 0, 1),
        writes_at_once=False,
    ),
    # the delivery of each message is a move of its own
    "late replies": Shape(
        "abc",
        "d",
        (("d", "x"), ("b", "y")),
        (("b", "a", ""),),
        disk_losses="a",
        delivers_replies_at_once=False,
    ),
}
