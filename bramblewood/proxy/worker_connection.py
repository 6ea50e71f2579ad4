"""One connection to a worker: what is out on it, whose answer comes, whether it may carry another. Pure.

It carries one request at a time. Its state and the answer's `X-Attempt-Id` alone decide whose bytes these
are; what can't be told ends the connection, never a guess. Whether anything went out decides whether a
request may go elsewhere (`errand.py`).
"""

from enum import Enum
from typing import NamedTuple

from .response_parser import Answer, Malformed, Reader

ANSWER_MOST = 32 * 2**20  # bytes that may come until an answer is whole
ID = "X-Attempt-Id"


class State(Enum):
    IDLE = "idle"  # new: nothing went out
    OUT = "out"  # a request is out, not a byte of an answer is here
    BEGUN = "begun"  # bytes of an answer are here, of whichever request, and it is not whole
    READ = "read"  # the whole answer was read and nothing beyond it: nothing is out any more
    SPOILT = "spoilt"  # closed, or to be: its bytes can't be trusted any more


class How(Enum):
    """How a try ended."""

    WHOLE = "whole"  # a whole answer of this request
    UNSENT = "unsent"  # nothing of it went out
    TURNED = "turned"  # nothing of it went out: the worker takes no further connection now
    BROKEN = "broken"  # it went out, and no answer of it can come any more
    PEER_TIMEOUT = "silent"  # it went out, and the time is over


class Ended(NamedTuple):
    how: How
    answer: Answer | None = None


class Connection:
    def __init__(self) -> None:
        self.state, self.reader = State.IDLE, Reader()
        self.wanted, self.got = "", 0
        self.surplus = False  # an answer of another request came while this one's was waited for

    @property
    def free(self) -> bool:
        """Whether it may be kept, and may carry a request."""
        return self.state in (State.IDLE, State.READ)

    @property
    def waiting(self) -> bool:
        return self.state in (State.OUT, State.BEGUN)

    def send(self, wanted: str, bare: bool) -> bool:
        """Whether the request with this id may go out here now. `bare`: it is a HEAD."""
        if not self.free:
            return False
        self.state, self.wanted, self.got, self.reader.bare = State.OUT, wanted, 0, bare
        return True

    def received(self, data: bytes, unsent: int = 0) -> Ended | None:
        """Bytes came. `unsent`: bytes of the request that still lie here; after an early answer nobody may
        take them for a request.
        """
        if not self.waiting:
            self.state = State.SPOILT  # nobody asked for them
            return None
        self.got += len(data)
        self.reader.feed(data)
        try:
            while (answer := self.reader.take()) is not None:
                if answer.status < 200:
                    continue
                told = answer.named.get(ID)
                if told == self.wanted:
                    sound = not (self.surplus or self.reader.begun or answer.closes or unsent)
                    self.state = State.READ if sound else State.SPOILT
                    return Ended(How.WHOLE, answer)
                if told is None:
                    raise Malformed("an answer without an id")
                self.surplus = True
        except Malformed:
            return self.ended(How.BROKEN)
        if self.got > ANSWER_MOST:
            return self.ended(How.BROKEN)
        self.state = State.BEGUN if self.reader.begun else State.OUT
        return None

    def closed(self) -> Ended | None:
        """It was closed or reset. What has no whole answer by now gets none."""
        return self.ended(How.BROKEN)

    def silence(self) -> Ended | None:
        """The time of the request is over. Its answer may still come, so nothing else may go out here."""
        return self.ended(How.PEER_TIMEOUT)

    def ended(self, how: How) -> Ended | None:
        waiting, self.state = self.waiting, State.SPOILT
        return Ended(how) if waiting else None
