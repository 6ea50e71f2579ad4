"""The one place where a connection's ending becomes an outcome in the module's words."""

from ..transport.ending import Ending

OUTCOMES = {
    Ending.CLOSED: "broken",
    Ending.RESET: "broken",
    Ending.UNREADABLE: "broken",
    Ending.OVERFULL: "broken",
    Ending.FAULT: "broken",
    Ending.SILENT: "timed-out",
    Ending.REFUSED: "unreachable",
    Ending.UNREACHABLE: "unreachable",
    Ending.NOT_UP: "unreachable",
    Ending.NO_DESCRIPTOR: "unknown",
    Ending.OURS: "unknown",
}  # these two say nothing of the other side


def outcome_of(ending: Ending) -> str:
    """The outcome of a health check whose connection ended so."""
    return OUTCOMES[ending]


def outcome_of_status(status: int) -> str:
    """The same for an answer that came whole."""
    return {200: "answered", 503: "rate-limited"}.get(status, "errored")
