"""The succession of configurations: what a put configuration makes of the agreed register, and its answer.
Pure.

Invariant: one configuration follows each version, and an answer other than 503 never changes. Numbers only
rise, so a configuration that does not follow what stands never will, but for one whose parent may still
come: it is refused for good only once that refusal is agreed on too.

The register's value: {"n": number, "config": as it was put, "past": {number: digest} of the newest that are
kept, "forgotten": the highest number that `past` no longer holds, "refused": {digest: the parent that is not
there yet}}.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..common.configuration import Configuration

# versions whose digests are kept, so that a repeat is known: five times the 730 changes planned for a day, so
# whoever repeats a call within its day or the four days after hears what became of it
DIGESTS_KEPT = 3650
# configurations kept as refused whose parent may still come: eight at once, eight times over
MAX_REFUSED = 64

RegisterValue = dict[str, Any]


# statuses of answers, of HTTP
TAKEN, INVALID, CONFLICT, UNCLEAR = 200, 400, 412, 503


class ConfigurationAnswer(NamedTuple):
    """What the caller is told: its status, and the reason where it is not taken."""

    status: int
    reason: str = ""


ACCEPTED = ConfigurationAnswer(TAKEN)
Transition = Callable[[Configuration, RegisterValue | None], tuple[RegisterValue | None, tuple[int, str]]]


def apply_configuration(
    configuration: Configuration, current: RegisterValue | None, kept: int = DIGESTS_KEPT
) -> tuple[RegisterValue | None, ConfigurationAnswer]:
    """The register's next value, None where it stays, and the answer.

    200: this very configuration was taken, whatever came after. 412 (another version stands) and 400 (its
    number does not rise): it never was in force and never will be. 503: unclear, as what would tell is
    forgotten or not there yet. kept: digests of past versions to keep.
    """
    number, past = (current["n"], current["past"]) if current else (0, {})
    if past.get(str(configuration.revision)) == configuration.digest:
        return None, ACCEPTED
    if configuration.revision <= configuration.parent_revision:
        return None, invalid_revision(configuration)
    if configuration.revision <= highest_forgotten(current):
        return None, too_old(configuration)
    refused = current.get("refused", {}) if current else {}
    if configuration.parent_revision < number or configuration.digest in refused:
        return None, version_conflict(number)
    if configuration.parent_revision > number:
        return refuse_early(configuration, current)
    return successor(configuration, current, kept), ACCEPTED


def refuse_early(
    configuration: Configuration, current: RegisterValue | None
) -> tuple[RegisterValue | None, ConfigurationAnswer]:
    """The refusal of a configuration whose parent may still come, written down as far as there is room."""
    refused = current.get("refused", {}) if current else {}
    if current is None or len(refused) >= MAX_REFUSED:
        return None, unknown_parent(configuration, current["n"] if current else 0)
    refused = {**refused, configuration.digest: configuration.parent_revision}
    return {**current, "refused": refused}, version_conflict(current["n"])


def successor(configuration: Configuration, current: RegisterValue | None, kept: int) -> RegisterValue:
    """The register's value once this configuration is taken."""
    past = {**(current["past"] if current else {}), str(configuration.revision): configuration.digest}
    refused = current.get("refused", {}) if current else {}
    rising = sorted(past, key=int)
    return {
        "n": configuration.revision,
        "config": configuration.raw,
        "past": {number: past[number] for number in rising[-kept:]},
        "forgotten": int(rising[-kept - 1]) if len(rising) > kept else highest_forgotten(current),
        "refused": {digest: parent for digest, parent in refused.items() if parent >= configuration.revision},
    }


def final_answer(
    configuration: Configuration,
    current: RegisterValue | None,
    transition: Transition = apply_configuration,
) -> tuple[int, str] | None:
    """The answer that a version known to be chosen settles for good, whatever came after it; None where it
    takes an agreement to tell: the configuration follows that version, or one that is not known here.
    """
    if current is None:
        return None
    following, answer = transition(configuration, current)
    return answer if following is None and configuration.parent_revision <= current["n"] else None


def highest_forgotten(current: RegisterValue | None) -> int:
    """The highest number whose digest is no longer kept; 0 where all are.

    Values that older programs left on a disk don't say it: there, all below the oldest kept.
    """
    if current is None:
        return 0
    oldest = min(map(int, current["past"]), default=current["n"] + 1)
    return current.get("forgotten", oldest - 1)


# --- answers to what is not taken


def invalid_revision(configuration: Configuration) -> ConfigurationAnswer:
    """Its number does not rise above its parent's."""
    reason = f"Revision: expected above r{configuration.parent_revision}, found r{configuration.revision}"
    return ConfigurationAnswer(INVALID, reason)


def too_old(configuration: Configuration) -> ConfigurationAnswer:
    """Its digest may have been kept once."""
    reason = f"r{configuration.revision} is too long ago: whether it was taken is no longer known"
    return ConfigurationAnswer(UNCLEAR, reason)


def version_conflict(number: int) -> ConfigurationAnswer:
    """It does not follow the version that stands."""
    return ConfigurationAnswer(CONFLICT, f"r{number} is current")


def unknown_parent(configuration: Configuration, number: int) -> ConfigurationAnswer:
    """Its parent may still come, and there is no room to note a refusal."""
    reason = f"r{configuration.parent_revision} is not known, r{number} is current"
    return ConfigurationAnswer(UNCLEAR, reason)
