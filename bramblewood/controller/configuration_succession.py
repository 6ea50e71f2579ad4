"""Decides whether a configuration that an operator puts succeeds the one in force, and the answer.

This module does no input or output. The controllers agree on its decisions through the register CONFIG.

Invariants: each revision has at most one successor. An answer to a configuration never changes, unless its
status is 503.

Revisions only increase. A configuration whose parent is older than the current revision can therefore never
come into force. A configuration whose parent is newer than the current revision may still come into force
later. Its rejection is therefore final only after the controllers have agreed on the rejection, too.

The value of the register is a JSON map:

    "n"          the current revision
    "config"     the current configuration, as it was put
    "past"       {revision: digest} of the latest revisions, the current one included
    "forgotten"  the highest revision whose digest was discarded from "past"
    "refused"    {digest: parent revision} of configurations that were rejected while their parent was unknown
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..common.configuration import Configuration

# Revisions whose digests are kept, so that a repeated call gets the same answer. They cover five days at the
# planned 730 changes a day.
MAX_DIGESTS = 3650
# Limit of the recorded rejections of configurations with an unknown parent. It suffices for eight rounds of
# eight concurrent calls.
MAX_RECORDED_REJECTIONS = 64

RegisterValue = dict[str, Any]

# HTTP statuses of the answers
STATUS_ACCEPTED, STATUS_INVALID, STATUS_CONFLICT, STATUS_UNKNOWN = 200, 400, 412, 503


class ConfigurationAnswer(NamedTuple):
    """The answer to the operator: an HTTP status, and the reason if the configuration was not accepted."""

    status: int
    reason: str = ""


ACCEPTED = ConfigurationAnswer(STATUS_ACCEPTED)
# A transition returns the next value of the register, or None to leave it unchanged, and the answer.
Transition = Callable[[Configuration, RegisterValue | None], tuple[RegisterValue | None, tuple[int, str]]]


def apply_configuration(
    configuration: Configuration, current: RegisterValue | None, max_digests: int = MAX_DIGESTS
) -> tuple[RegisterValue | None, ConfigurationAnswer]:
    """Returns the next value of the register, or None to leave it unchanged, and the answer.

    The statuses of the answers are:
    200: the configuration is in force, or it was in force and has been succeeded.
    400: its revision is not above that of its parent.
    412: its parent is not the current revision, or it was rejected before.
    503: the outcome is unknown. Either the digest that would show it was discarded, or the parent is unknown
    and the rejection cannot be recorded.

    A configuration with the answer 400 or 412 never was in force and never will be.

    max_digests: the number of past digests to keep.
    """
    current_revision, past = (current["n"], current["past"]) if current else (0, {})
    if past.get(str(configuration.revision)) == configuration.digest:
        return None, ACCEPTED
    if configuration.revision <= configuration.parent_revision:
        return None, invalid_revision(configuration)
    if configuration.revision <= highest_discarded_revision(current):
        return None, revision_too_old(configuration)
    rejected = current.get("refused", {}) if current else {}
    if configuration.parent_revision < current_revision or configuration.digest in rejected:
        return None, revision_conflict(current_revision)
    if configuration.parent_revision > current_revision:
        return reject_unknown_parent(configuration, current)
    return next_register_value(configuration, current, max_digests), ACCEPTED


def reject_unknown_parent(
    configuration: Configuration, current: RegisterValue | None
) -> tuple[RegisterValue | None, ConfigurationAnswer]:
    """Rejects a configuration whose parent may still come into force.

    Returns the next value of the register, which records the rejection, and the answer. The value is None and
    the status 503 if MAX_RECORDED_REJECTIONS rejections are recorded already, or if the register is empty.
    """
    rejected = current.get("refused", {}) if current else {}
    if current is None or len(rejected) >= MAX_RECORDED_REJECTIONS:
        return None, unknown_parent(configuration, current["n"] if current else 0)
    rejected = {**rejected, configuration.digest: configuration.parent_revision}
    return {**current, "refused": rejected}, revision_conflict(current["n"])


def next_register_value(
    configuration: Configuration, current: RegisterValue | None, max_digests: int
) -> RegisterValue:
    """Returns the value of the register with this configuration in force."""
    past = {**(current["past"] if current else {}), str(configuration.revision): configuration.digest}
    rejected = current.get("refused", {}) if current else {}
    revisions = sorted(past, key=int)
    return {
        "n": configuration.revision,
        "config": configuration.raw,
        "past": {revision: past[revision] for revision in revisions[-max_digests:]},
        "forgotten": int(revisions[-max_digests - 1])
        if len(revisions) > max_digests
        else highest_discarded_revision(current),
        "refused": {
            digest: parent for digest, parent in rejected.items() if parent >= configuration.revision
        },
    }


def final_answer(
    configuration: Configuration,
    current: RegisterValue | None,
    transition: Transition = apply_configuration,
) -> tuple[int, str] | None:
    """Returns the answer that can be given without a proposal, or None if a proposal is needed.

    current: a chosen value of the register. Later values may have replaced it. It determines the answer,
    except where the configuration would change this value or has a parent above the revision of this value.
    """
    if current is None:
        return None
    next_value, answer = transition(configuration, current)
    return answer if next_value is None and configuration.parent_revision <= current["n"] else None


def highest_discarded_revision(current: RegisterValue | None) -> int:
    """Returns the highest revision whose digest was discarded, 0 if none was.

    A value that an older release stored lacks the field "forgotten". Every revision below the oldest one in
    its "past" then counts as discarded.
    """
    if current is None:
        return 0
    oldest_kept = min(map(int, current["past"]), default=current["n"] + 1)
    return current.get("forgotten", oldest_kept - 1)


# --- answers to configurations that are not accepted


def invalid_revision(configuration: Configuration) -> ConfigurationAnswer:
    """Returns the answer to a configuration whose revision is not above that of its parent."""
    reason = f"Revision: expected above r{configuration.parent_revision}, found r{configuration.revision}"
    return ConfigurationAnswer(STATUS_INVALID, reason)


def revision_too_old(configuration: Configuration) -> ConfigurationAnswer:
    """Returns the answer to a configuration whose revision is too old for its digest to be kept."""
    reason = f"r{configuration.revision} is too long ago: whether it was taken is no longer known"
    return ConfigurationAnswer(STATUS_UNKNOWN, reason)


def revision_conflict(current_revision: int) -> ConfigurationAnswer:
    """Returns the answer to a configuration whose parent is not the current revision."""
    return ConfigurationAnswer(STATUS_CONFLICT, f"r{current_revision} is current")


def unknown_parent(configuration: Configuration, current_revision: int) -> ConfigurationAnswer:
    """Returns the answer to a configuration with an unknown parent whose rejection cannot be recorded."""
    reason = f"r{configuration.parent_revision} is not known, r{current_revision} is current"
    return ConfigurationAnswer(STATUS_UNKNOWN, reason)
