"""The small cases that are searched through: who votes, which orders, changes and faults may come."""

from typing import NamedTuple


class Shape(NamedTuple):
    """A small case. orders: (proposer, mark); changes: (proposer, seat, successor), an empty successor
    being the seat's own machine with its new disk; wipes, powers: which machines may lose a disk or power;
    most: how many of each, of waits and of changes, at most.
    """

    voters: str
    spares: str
    orders: tuple
    changes: tuple = ()
    wipes: str = ""
    powers: str = ""
    waits: str = ""
    most: tuple[int, int, int, int] = (1, 1, 1, 1)
    prompt: bool = True
    instant: bool = True
    begin: tuple = ()  # moves that have happened already


ORDERS = (("c", "x"), ("a", "y"))
SHAPES = {
    # the forgotten promise: a spare's order, a lost disk, its seat anew
    "lost disk": Shape("abc", "d", (("d", "x"), ("b", "y")), (("b", "a", ""),), wipes="a"),
    # any one disk, and its seat given to its own machine or to the spare
    "any disk": Shape(
        "abc",
        "d",
        (("d", "x"), ("b", "y")),
        (("b", "a", ""), ("c", "b", ""), ("a", "c", ""), ("b", "a", "d")),
        wipes="abc",
    ),
    # a spare takes the seat of one that goes on in the old epoch
    "spare": Shape("abc", "d", ORDERS, (("a", "c", "d"),), most=(0, 0, 0, 1)),
    # the same, and a voter or the proposer of the change loses power
    "power": Shape("abc", "d", ORDERS, (("a", "c", "d"),), powers="ab", most=(0, 1, 0, 1)),
    # from the moment at which the set has been chosen and its proposer is active in it
    "amid a change": Shape(
        "abc",
        "d",
        ORDERS,
        (("a", "c", "d"),),
        powers="b",
        most=(0, 1, 0, 1),
        begin=("change 0", "prepare a>b", "accept a>b", "join a>b"),
    ),
    # two orders that one voter each accepted, and a change of the set on top of them
    "two left over": Shape(
        "abc",
        "d",
        (("a", "x"), ("c", "z"), ("b", "y")),
        (("b", "c", "d"),),
        waits="a",
        most=(0, 0, 1, 1),
        begin=("order x", "prepare a>b", "order z", "prepare c>b", "change 0", "prepare b>a", "accept b>a"),
    ),
    # an order that is chosen, and a set of voters after it
    "chosen before": Shape(
        "abc",
        "d",
        ORDERS,
        (("a", "c", "d"),),
        wipes="b",
        most=(1, 0, 0, 1),
        begin=("order x", "prepare c>b", "accept c>b"),
    ),
    # two changes at once, by two voters, and an order and a lost disk
    "two changes": Shape(
        "abc", "d", (("a", "x"),), (("a", "c", "d"), ("b", "a", "d")), wipes="a", most=(1, 0, 0, 2)
    ),
    # a second change right after the first is chosen, and a lost disk
    "second change": Shape(
        "abc",
        "d",
        (("a", "x"),),
        (("a", "c", "d"), ("b", "a", "d")),
        wipes="a",
        most=(1, 0, 0, 2),
        begin=("change 0", "prepare a>b", "accept a>b"),
    ),
    # writes apart from what rests on them
    "slow disks": Shape(
        "abc", "d", (("b", "x"),), (("a", "c", "d"),), powers="ab", most=(0, 1, 0, 1), instant=False
    ),
    # each message by itself
    "late answers": Shape("abc", "d", (("d", "x"), ("b", "y")), (("b", "a", ""),), wipes="a", prompt=False),
}
