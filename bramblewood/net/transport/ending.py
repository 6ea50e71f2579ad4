"""Every way in which a connection can end, as one type."""

import errno
from enum import Enum


class Ending(Enum):
    """How a connection ended; the values stand in the log."""

    CLOSED = "closed by the other side"
    RESET = "reset by the other side"
    REFUSED = "refused"
    UNREACHABLE = "no way there"
    NOT_UP = "did not come up in time"
    SILENT = "silent for too long"
    UNREADABLE = "sent what can't be read"
    OVERFULL = "sent or left unread more than is kept"
    NO_DESCRIPTOR = "out of descriptors"
    FAULT = "another fault of the socket"
    OURS = "ended by this manager"


BY_ERROR = {
    errno.ECONNREFUSED: Ending.REFUSED,
    errno.ETIMEDOUT: Ending.NOT_UP,
    errno.EMFILE: Ending.NO_DESCRIPTOR,
    errno.ENFILE: Ending.NO_DESCRIPTOR,
    **dict.fromkeys((errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED), Ending.RESET),
    **dict.fromkeys((errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL), Ending.UNREACHABLE),
}


def ending_of(error: int | None) -> Ending:
    """The ending that an error number of the system stands for."""
    return BY_ERROR.get(error or 0, Ending.FAULT)
