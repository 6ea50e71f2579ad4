"""The errors that the gateway raises itself: one tree, so that callers can tell ours from Python's.

Each says what went wrong, and at which step and with which peer, as the log's keys `step` and `peer` do.
Kinds that belong to one module are defined there, as subclasses of `BramblewoodError`. Those that stand for
one of Python's own errors have that as a base too, so that `except ValueError` still catches them.
"""


class BramblewoodError(Exception):
    """Base of the gateway's errors.

    problem: what went wrong; it is the error's text.
    step: the step at which it did, as the log names it; a subclass gives its usual one.
    peer: the machine or worker concerned, empty where there is none.
    """

    step = ""

    def __init__(self, problem: object = "", *, step: str = "", peer: str = "") -> None:
        super().__init__(problem)
        self.problem, self.peer = problem, peer
        self.step = step or type(self).step

    def log_fields(self) -> dict[str, str]:
        """The error as keys of a log line."""
        fields = {"step": self.step, "reason": str(self)}
        return fields | {"peer": self.peer} if self.peer else fields


class SettingsError(BramblewoodError):
    """A settings file that can't be read or has an invalid field; the text names file and field."""

    step = "settings"

    def __init__(self, problem: object, *, path: str = "") -> None:
        super().__init__(problem)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}" if self.path else str(self.problem)

    def in_file(self, path: str) -> "SettingsError":
        """The same error with the file that it was found in."""
        return type(self)(self.problem, path=path)


class SettingsUnreadableError(SettingsError):
    """A settings file that is not there, or can't be read."""


class PeerMessageError(BramblewoodError, ValueError):
    """A message from a peer that is no JSON object."""

    step = "receive"
