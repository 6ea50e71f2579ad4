"""The audit: what clients saw against what the ledgers hold, line by line. Pure.

Clients' views are tries, each with its order, its attempt id, when it was sent and answered (s, one clock),
the status or 0 for none, and how many lines the record had by the answer. What clients can't know (502,
504, no answer) may have run or not, once.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from .effect_log import Line

PROMISES = (408, 421, 429, 503)  # has not run and never will


class Try(NamedTuple):
    """One try of a client."""

    kind: str  # the request's name
    effect: int  # what it adds to the record; 0 is a lookup
    order: str
    attempt: str
    service: str
    key: int
    sent: float
    ended: float
    status: int
    lines: int | None


class Finding(NamedTuple):
    what: str
    order: str
    detail: str


def audit(tries: list[Try], ledgers: dict[str, list[Line]], ends: dict[str, float]) -> list[Finding]:
    """All that is wrong; ends: by worker, when it took leave and ended (s, the same clock)."""
    found: list[Finding] = []
    sent = {one.attempt: one for one in tries}
    lines = [line for some in ledgers.values() for line in some]
    ran = Counter(line.attempt for line in lines)
    by_order = Counter(line.order for line in lines)
    for line in lines:
        one = sent.get(line.attempt)
        if one is None or one.effect != line.added or one.order != line.order or one.key != line.key:
            found.append(Finding("phantom", line.order, f"{line.kind} at {line.worker}, nobody asked for it"))
        elif one.status in PROMISES:
            found.append(Finding("refused, yet it ran", line.order, f"{one.status} for {line.attempt}"))
        if line.worker in ends and line.at > ends[line.worker]:
            found.append(Finding("after its end", line.order, line.worker))
    for order, count in by_order.items():
        if count > 1:
            found.append(Finding("twice", order, f"{count} lines"))
    for one in tries:
        if one.effect and 200 <= one.status < 300 and not ran[one.attempt]:
            found.append(Finding("lost", one.order, f"{one.kind} was answered {one.status}"))
    found += stale(tries, ledgers)
    return found


def stale(tries: list[Try], ledgers: dict[str, list[Line]]) -> list[Finding]:
    """Lookups that began after an effect was answered and do not count it: by the number of its lines."""
    found = []
    answered: dict[tuple[str, int], list[tuple[float, str]]] = defaultdict(list)
    for one in tries:
        if one.effect and 200 <= one.status < 300:
            answered[one.service, one.key].append((one.ended, one.attempt))
    upto: dict[tuple[str, int], dict[str, int]] = defaultdict(dict)
    for service, lines in ledgers.items():
        counts: Counter = Counter()
        for line in lines:
            counts[line.key] += 1
            upto[service, line.key][line.attempt] = counts[line.key]
    for one in tries:
        if one.effect or one.lines is None:
            continue
        due = [a for ended, a in answered.get((one.service, one.key), ()) if ended < one.sent]
        least = max((upto[one.service, one.key].get(attempt, 0) for attempt in due), default=0)
        if one.lines < least:
            found.append(
                Finding("stale", one.order, f"key {one.key}: {one.lines} lines, {least} were answered")
            )
    return found
