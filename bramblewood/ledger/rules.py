"""What is made of remembered facts: whom to believe, what is a further try, what waits for the disc. Pure.

Where rules meet, they rank: nobody without a worker; no effect twice; drains kept; then everything else.
"""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from .. import events
from ..startup_settings import Operation
from .records import Admitted, Closed

LEASE = 5.0  # s down after which the store may have given slices to others, where no fact tells
INSISTING = 60.0  # s for which discovery must name a worker ready, with versions from before it was
# closed, to be believed: its own memory was set back, and does not catch up by itself
LONGEST_DOUBT = 24.0  # s; the module's doubts are doubled twice from 6, and a clock may have been set back
MARKS = 1024  # marks taken ahead at once: one record each ten minutes at the usual pace
SKIPPED = 8192  # marks left out at a start: an hour's, for those used while the disc took no records
MOST_CLOSED = 20_000  # closed workers remembered; the oldest go, ids are new all day
SURE = 0.5  # part of the open workers that must be proved before the others are left unused


class Promise(Enum):
    """How a class of record stands to the orders of its turn."""

    STRICT = "its order is not sent before it is on the disc, however long that takes"
    FIRST = "the turn's orders wait for it, but no longer than `hold`: keeping them back would harm more"
    TRAILS = "nothing waits for it"


PROMISES: Mapping[str, tuple[Promise, str]] = {
    "further try": (Promise.STRICT, "an effect that is repeated can't be taken back"),
    "marks": (Promise.TRAILS, "they are taken ahead, and a start skips more than a long outage uses"),
    "try carried out": (Promise.FIRST, "a further try in doubt is not ordered again: doubts must be short"),
    "closed worker": (
        Promise.FIRST,
        "orders that follow from a drain must not outlive the memory of it; but "
        "they also have to keep the drain's time",
    ),
    "life": (Promise.FIRST, "which start this is, before it orders anything"),
    "careful": (Promise.FIRST, "damage that was found must be remembered till it is acted on"),
    "withdrawal": (Promise.TRAILS, "forgotten, it is told again with the next table that names the worker"),
    "level": (Promise.TRAILS, "the relay's store has it, and a new life begins from what is usual"),
    "doubt": (Promise.TRAILS, "forgotten, it is made again from four tries"),
    "lines": (Promise.TRAILS, "the relay's news name them"),
}


def believed(entry: events.ListedWorker, was: Closed, version: int, live: bool) -> str | None:
    """Why a worker that was told closed is open again, or None if that stands against this word."""
    if entry.started is not None and (was.started is None or entry.started > was.started):
        return "it has started anew"
    if live and version > was.version:
        return f"discovery told so in version {version}, after {was.version}"
    return None


def let_in(kept_out: int, ready: int) -> bool:
    """Whether those kept out on memory alone go in all the same: nobody else is there to serve."""
    return kept_out > 0 and ready == 0


def insists(since: float, now: float) -> bool:
    return now >= since + INSISTING


def downtime(alive: float, now: float) -> float:
    """s between two lives; a clock that was set back in between tells nothing, so none."""
    return max(now - alive, 0.0)


def outlived(down: float, lease: float | None) -> bool:
    """Whether what stood at tables may be another's by now."""
    return down > (lease or LEASE)


def longest_timeout(operations: Sequence[Operation]) -> float:
    """s after which no invocation that came before can still take effect."""
    return max((operation.integration_timeout for operation in operations), default=0.0)


def careful_until(damaged: bool, before: float, now: float, operations: Sequence[Operation]) -> float:
    """Till when a start is careful: a full timeout after damage; an earlier such time goes on, no longer."""
    until = now + longest_timeout(operations)
    return until if damaged else min(before, until)


def doubt_left(until: float, at: float, now: float) -> float:
    """s of a doubt that are left, over a clock that may have been set."""
    return min(max(until - max(now, at), 0.0), LONGEST_DOUBT)


class Try(NamedTuple):
    """What an order to let in would do to one operation at a table, and what is made of it."""

    verdict: str  # "sent", "promised first", "stands", "waits"
    why: str
    until: float = 0.0  # for one that waits: unix time


def judge_try(
    kind: str,
    level: float,
    retry: int,
    standing: Admitted | None,
    usual: int,
    life: int,
    careful: float,
    now: float,
    unsent: bool = False,
) -> Try:
    """Whether an order is a further try of an operation with effects, and whether it may go.

    standing: what is remembered of this operation at this table, None where nothing is; usual: the proxies'
    own way; unsent: what is remembered waits for the disc and has not gone out. A further try is an order by
    which proxies try again more than what stands lets them.
    """
    stands = standing.retry if standing and not unsent else usual
    if kind == events.IDEMPOTENT:
        return Try("sent", "idempotent")
    earlier = standing is not None and standing.life != life
    if earlier and retry > usual and (retry, level) == (standing.retry, standing.level):
        how = "carried out" if standing.carried else "perhaps carried out: at most once is the rule"
        return Try("stands", f"ordered in life {standing.life} and {how}")
    if retry <= min(stands, usual if earlier and not standing.carried else stands):
        return Try("sent", "no more tries than what stands")
    if now < careful:
        return Try("waits", "records were found damaged; what was in work may still take effect", careful)
    return Try("promised first", "a further try")


def uses_unproved(
    lines: Mapping[str, float], worker: str, proved: set[str], ready: set[str], spoke: bool
) -> bool:
    """Whether a line puts to use a worker that nobody proved open, while others serve the table.

    Before discovery's first word nobody is proved; then the lines that stand serve, as a life that knew more
    set them. After it only proved ones count, and only if there are enough of them to carry the rest.
    """
    if worker in proved or worker in lines:
        return False
    if not spoke:
        return any(weight > 0 and other in ready for other, weight in lines.items())
    serving = any(weight > 0 and other in proved for other, weight in lines.items())
    return serving and len(proved) >= SURE * len(ready)
