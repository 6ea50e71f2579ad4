"""The state of one connection to a worker: what was sent, whose answer arrives, whether it may be reused.

No I/O: `worker_connection` hands in what happened (`on_data`, `on_closed`, `on_timeout`) and gets the result
of the exchange once there is one.

Invariant: a connection carries one request at a time, and its phase and the answer's `X-Attempt-Id` alone
decide which request an answer belongs to. Where that can't be told the connection ends; nothing is guessed.
"""

from enum import Enum
from typing import NamedTuple

from .response_parser import MalformedResponse, ResponseParser, WorkerResponse

MAX_ANSWER_BYTES = 32 * 2**20  # bytes that may arrive until an answer is complete
ATTEMPT_ID_HEADER = "X-Attempt-Id"


class ConnectionPhase(Enum):
    """Where a connection stands between two requests."""

    IDLE = "idle"  # new: nothing was sent
    AWAITING_ANSWER = "out"  # a request was sent, not a byte of an answer is here
    READING_ANSWER = "begun"  # bytes of an answer are here, of whichever request, and it is not complete
    ANSWER_COMPLETE = "read"  # the answer was read and nothing beyond it: no request is in flight
    UNUSABLE = "spoilt"  # closed, or to be closed: its bytes can't be trusted any more


class AttemptOutcome(Enum):
    """How an attempt at a worker ended; the values are labels of a metric and of log lines."""

    ANSWERED = "whole"  # a complete answer to this request
    NOT_SENT = "unsent"  # nothing of the request was sent
    CONNECTION_REJECTED = "turned"  # nothing was sent: the worker accepts no further connection now
    CONNECTION_BROKEN = "broken"  # it was sent, and no answer to it can arrive any more
    TIMED_OUT = "silent"  # it was sent, and its deadline has passed


class ExchangeResult(NamedTuple):
    """The outcome of one exchange; `answer` is set where that is `ANSWERED`."""

    outcome: AttemptOutcome
    answer: WorkerResponse | None = None


class WorkerConnectionState:
    """The state machine of one connection to a worker."""

    def __init__(self) -> None:
        self.phase, self.parser = ConnectionPhase.IDLE, ResponseParser()
        self.request_id, self.bytes_received = "", 0
        self.foreign_answer_seen = False  # another request's answer arrived while this one's was awaited
        self.accepts_unnamed = False  # whether an answer without an id counts as the request's
        self.requests_sent = 0

    @property
    def is_reusable(self) -> bool:
        """Whether it may be kept and may carry a request."""
        return self.phase in (ConnectionPhase.IDLE, ConnectionPhase.ANSWER_COMPLETE)

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether a request is in flight on it."""
        return self.phase in (ConnectionPhase.AWAITING_ANSWER, ConnectionPhase.READING_ANSWER)

    def begin_request(self, request_id: str, head_request: bool, accepts_unnamed: bool = False) -> bool:
        """Start an exchange; false where the request must not be sent here.

        request_id: its `X-Attempt-Id`. head_request: its method is HEAD, so its answer has no body.
        accepts_unnamed: an answer without an id is taken too; who asks so looks at the answer, and at what
        the connection carried before.
        """
        if not self.is_reusable:
            return False
        self.phase, self.request_id, self.bytes_received = ConnectionPhase.AWAITING_ANSWER, request_id, 0
        self.parser.head_request, self.accepts_unnamed = head_request, accepts_unnamed
        self.requests_sent += 1
        return True

    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        """Bytes arrived; the result of the exchange if they complete it.

        unsent_bytes: bytes of the request that are still in the write buffer. After an answer that came
        that early, nobody may take them for the start of a request.
        """
        if not self.is_awaiting_answer:
            self.phase = ConnectionPhase.UNUSABLE  # unsolicited
            return None
        self.bytes_received += len(data)
        self.parser.feed(data)
        try:
            answer = self._own_answer()
        except MalformedResponse:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        if answer is not None:
            clean = not (
                self.foreign_answer_seen
                or self.parser.is_mid_response
                or answer.closes_connection
                or unsent_bytes
            )
            self.phase = ConnectionPhase.ANSWER_COMPLETE if clean else ConnectionPhase.UNUSABLE
            return ExchangeResult(AttemptOutcome.ANSWERED, answer)
        if self.bytes_received > MAX_ANSWER_BYTES:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        mid_response = self.parser.is_mid_response
        self.phase = ConnectionPhase.READING_ANSWER if mid_response else ConnectionPhase.AWAITING_ANSWER
        return None

    def _own_answer(self) -> WorkerResponse | None:
        """This request's answer once it is complete; raises `MalformedResponse`, also without an id."""
        while (answer := self.parser.next_response()) is not None:
            if answer.status < 200:
                continue
            answer_id = answer.headers_by_name.get(ATTEMPT_ID_HEADER)
            if answer_id == self.request_id:
                return answer
            if answer_id is None and self.accepts_unnamed:
                return answer
            if answer_id is None:
                raise MalformedResponse("an answer without an id")
            self.foreign_answer_seen = True
        return None

    def on_closed(self) -> ExchangeResult | None:
        """It was closed or reset. A request without a complete answer gets none."""
        return self._finish(AttemptOutcome.CONNECTION_BROKEN)

    def on_timeout(self) -> ExchangeResult | None:
        """The request's deadline has passed. Its answer may still arrive, so nothing else is sent here."""
        return self._finish(AttemptOutcome.TIMED_OUT)

    def _finish(self, outcome: AttemptOutcome) -> ExchangeResult | None:
        was_awaiting_answer, self.phase = self.is_awaiting_answer, ConnectionPhase.UNUSABLE
        return ExchangeResult(outcome) if was_awaiting_answer else None
