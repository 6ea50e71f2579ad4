"""The base classes of the gateway's own errors, so that callers can tell them from Python's errors.

Each error contains the problem, the step that failed and the peer concerned. They are logged under the keys
`reason`, `step` and `peer`. An error that belongs to one module is defined in that module as a subclass of
`BramblewoodError`. An error that corresponds to a built-in error also derives from the built-in class, so
that `except ValueError` still catches it.
"""


class BramblewoodError(Exception):
    """Base class of the gateway's errors.

    `problem` describes what failed, and is the text of the error. `step` is the step that failed, by its name
    in the log; each subclass defines its default. `peer` is the machine or worker concerned, or "" for none.
    """

    step = ""

    def __init__(self, problem: object = "", *, step: str = "", peer: str = "") -> None:
        super().__init__(problem)
        self.problem, self.peer = problem, peer
        self.step = step or type(self).step

    def log_fields(self) -> dict[str, str]:
        """Return the error as fields of a log line: `step`, `reason` and, unless it is empty, `peer`."""
        fields = {"step": self.step, "reason": str(self)}
        return fields | {"peer": self.peer} if self.peer else fields


class SettingsError(BramblewoodError):
    """A settings file cannot be read, or a field in it is invalid.

    The text of the error names the file, once its path is known, and the field.
    """

    step = "settings"

    def __init__(self, problem: object, *, path: str = "") -> None:
        super().__init__(problem)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}" if self.path else str(self.problem)

    def in_file(self, path: str) -> "SettingsError":
        """Return a copy of the error with the path of the settings file."""
        return type(self)(self.problem, path=path)


class SettingsUnreadableError(SettingsError):
    """A settings file does not exist or cannot be read."""


class PeerMessageError(BramblewoodError, ValueError):
    """A message from a peer cannot be decoded, or a field of it has the wrong type."""

    step = "receive"
