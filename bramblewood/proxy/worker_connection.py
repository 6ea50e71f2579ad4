"""One connection to a worker: what is out on it, whose answer comes, whether it may carry another. Pure.

It carries one request at a time. Its state and the answer's `X-Attempt-Id` alone decide whose bytes these
are; what can't be told ends the connection, never a guess. Whether anything went out decides whether a
request may go elsewhere (`errand.py`).
"""

from enum import Enum
from typing import NamedTuple

from .response_parser import MalformedResponse, ResponseParser, WorkerResponse

MAX_ANSWER_BYTES = 32 * 2**20  # bytes that may come until an answer is whole
ATTEMPT_ID_HEADER = "X-Attempt-Id"


class ConnectionPhase(Enum):
    IDLE = "idle"  # new: nothing went out
    AWAITING_ANSWER = "out"  # a request is out, not a byte of an answer is here
    READING_ANSWER = "begun"  # bytes of an answer are here, of whichever request, and it is not whole
    ANSWER_COMPLETE = "read"  # the whole answer was read and nothing beyond it: nothing is out any more
    UNUSABLE = "spoilt"  # closed, or to be: its bytes can't be trusted any more


class AttemptOutcome(Enum):
    """How a try ended."""

    ANSWERED = "whole"  # a whole answer of this request
    NOT_SENT = "unsent"  # nothing of it went out
    CONNECTION_REJECTED = "turned"  # nothing of it went out: the worker takes no further connection now
    CONNECTION_BROKEN = "broken"  # it went out, and no answer of it can come any more
    TIMED_OUT = "silent"  # it went out, and the time is over


class ExchangeResult(NamedTuple):
    outcome: AttemptOutcome
    answer: WorkerResponse | None = None


class WorkerConnectionState:
    def __init__(self) -> None:
        self.phase, self.parser = ConnectionPhase.IDLE, ResponseParser()
        self.request_id, self.bytes_received = "", 0
        self.foreign_answer_seen = False  # an answer of another request came while this one's was waited for

    @property
    def is_reusable(self) -> bool:
        """Whether it may be kept, and may carry a request."""
        return self.phase in (ConnectionPhase.IDLE, ConnectionPhase.ANSWER_COMPLETE)

    @property
    def is_awaiting_answer(self) -> bool:
        return self.phase in (ConnectionPhase.AWAITING_ANSWER, ConnectionPhase.READING_ANSWER)

    def begin_request(self, request_id: str, head_request: bool) -> bool:
        """Whether the request with this id may go out here now. `bare`: it is a HEAD."""
        if not self.is_reusable:
            return False
        self.phase, self.request_id, self.bytes_received, self.parser.head_request = (
            ConnectionPhase.AWAITING_ANSWER,
            request_id,
            0,
            head_request,
        )
        return True

    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        """Bytes came. `unsent`: bytes of the request that still lie here; after an early answer nobody may
        take them for a request.
        """
        if not self.is_awaiting_answer:
            self.phase = ConnectionPhase.UNUSABLE  # nobody asked for them
            return None
        self.bytes_received += len(data)
        self.parser.feed(data)
        try:
            while (answer := self.parser.next_response()) is not None:
                if answer.status < 200:
                    continue
                answer_id = answer.headers_by_name.get(ATTEMPT_ID_HEADER)
                if answer_id == self.request_id:
                    clean = not (
                        self.foreign_answer_seen
                        or self.parser.is_mid_response
                        or answer.closes_connection
                        or unsent_bytes
                    )
                    self.phase = ConnectionPhase.ANSWER_COMPLETE if clean else ConnectionPhase.UNUSABLE
                    return ExchangeResult(AttemptOutcome.ANSWERED, answer)
                if answer_id is None:
                    raise MalformedResponse("an answer without an id")
                self.foreign_answer_seen = True
        except MalformedResponse:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        if self.bytes_received > MAX_ANSWER_BYTES:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        self.phase = (
            ConnectionPhase.READING_ANSWER if self.parser.is_mid_response else ConnectionPhase.AWAITING_ANSWER
        )
        return None

    def on_closed(self) -> ExchangeResult | None:
        """It was closed or reset. What has no whole answer by now gets none."""
        return self._finish(AttemptOutcome.CONNECTION_BROKEN)

    def on_timeout(self) -> ExchangeResult | None:
        """The time of the request is over. Its answer may still come, so nothing else may go out here."""
        return self._finish(AttemptOutcome.TIMED_OUT)

    def _finish(self, outcome: AttemptOutcome) -> ExchangeResult | None:
        was_awaiting_answer, self.phase = self.is_awaiting_answer, ConnectionPhase.UNUSABLE
        return ExchangeResult(outcome) if was_awaiting_answer else None
