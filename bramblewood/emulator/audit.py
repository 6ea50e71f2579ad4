"""The audit: what clients saw against the effects that ran, one by one. Pure.

Clients' views are attempts. What clients can't know (502, 504, no answer) may have run or not, once.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from .effect_log import Effect

NOT_RUN = (408, 421, 429, 503)  # statuses that promise: it has not run and never will

RecordKey = tuple[str, int]  # service and key


class Attempt(NamedTuple):
    """One attempt of a client's order; times in s of one clock."""

    kind: str  # the request's name
    effect: int  # what it adds to the record; 0 is a lookup
    order: str
    attempt: str
    service: str
    key: int
    sent: float
    ended: float
    status: int  # 0: no answer
    entries: int | None  # how many the record had, as the answer says; None where it does not

    @property
    def is_done(self) -> bool:
        """Whether it was answered as done."""
        return 200 <= self.status < 300


class Finding(NamedTuple):
    """A rule that was broken: which, by which order, and how."""

    what: str
    order: str
    detail: str


def audit(
    attempts: list[Attempt], effects: dict[str, list[Effect]], worker_ends: dict[str, float]
) -> list[Finding]:
    """All that is wrong.

    effects: by service, the earliest first. worker_ends: by instance id of workers that left in order, when
    they ended (s, the same clock).
    """
    all_effects = [effect for of_service in effects.values() for effect in of_service]
    by_attempt = {attempt.attempt: attempt for attempt in attempts}
    return [
        *_unexplained_effects(all_effects, by_attempt, worker_ends),
        *_repeated_effects(all_effects),
        *_lost_effects(attempts, all_effects),
        *_stale_lookups(attempts, effects),
    ]


def _unexplained_effects(
    effects: list[Effect], by_attempt: dict[str, Attempt], worker_ends: dict[str, float]
) -> list[Finding]:
    """Effects that nobody asked for, that were refused, or that ran after their worker's end."""
    findings = []
    for effect in effects:
        asked = by_attempt.get(effect.attempt)
        if asked is None or (asked.effect, asked.order, asked.key) != (
            effect.added,
            effect.order,
            effect.key,
        ):
            detail = f"{effect.kind} at {effect.worker}, nobody asked for it"
            findings.append(Finding("phantom", effect.order, detail))
        elif asked.status in NOT_RUN:
            detail = f"{asked.status} for {effect.attempt}"
            findings.append(Finding("refused, yet it ran", effect.order, detail))
        if effect.worker in worker_ends and effect.at > worker_ends[effect.worker]:
            findings.append(Finding("after its end", effect.order, effect.worker))
    return findings


def _repeated_effects(effects: list[Effect]) -> list[Finding]:
    """Orders that ran more than once."""
    counts = Counter(effect.order for effect in effects)
    return [Finding("twice", order, f"{count} lines") for order, count in counts.items() if count > 1]


def _lost_effects(attempts: list[Attempt], effects: list[Effect]) -> list[Finding]:
    """Effects that were answered as done and did not run."""
    ran = {effect.attempt for effect in effects}
    return [
        Finding("lost", attempt.order, f"{attempt.kind} was answered {attempt.status}")
        for attempt in attempts
        if attempt.effect and attempt.is_done and attempt.attempt not in ran
    ]


def _stale_lookups(attempts: list[Attempt], effects: dict[str, list[Effect]]) -> list[Finding]:
    """Lookups that began after an effect was answered and do not count it: by the number of its entry."""
    answered: dict[RecordKey, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.effect and attempt.is_done:
            answered[attempt.service, attempt.key].append(attempt)
    positions = _entry_positions(effects)
    findings = []
    for lookup in attempts:
        if lookup.effect or lookup.entries is None:
            continue
        record = lookup.service, lookup.key
        earlier = [one.attempt for one in answered.get(record, ()) if one.ended < lookup.sent]
        least = max((positions[record].get(attempt, 0) for attempt in earlier), default=0)
        if lookup.entries < least:
            detail = f"key {lookup.key}: {lookup.entries} lines, {least} were answered"
            findings.append(Finding("stale", lookup.order, detail))
    return findings


def _entry_positions(effects: dict[str, list[Effect]]) -> dict[RecordKey, dict[str, int]]:
    """By record and attempt: the how-manieth entry of its record an effect is, from 1."""
    positions: dict[RecordKey, dict[str, int]] = defaultdict(dict)
    counts: Counter[RecordKey] = Counter()
    for service, of_service in effects.items():
        for effect in of_service:
            record = service, effect.key
            counts[record] += 1
            positions[record][effect.attempt] = counts[record]
    return positions
