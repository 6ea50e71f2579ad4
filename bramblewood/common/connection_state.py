"""The state machine of one connection to a worker.

It decides which bytes are the response to the request in flight, and whether the connection may be reused.
The module does no I/O: `worker_connection` calls `on_data`, `on_closed` and `on_timeout`, each of which
returns the result of the exchange if the event ends it.

Invariant: a connection carries one request at a time. Only the phase of the connection and the response's
`X-Attempt-Id` decide which request a response belongs to. If these two do not determine the request, the
connection is not used any more.
"""

from enum import Enum
from typing import NamedTuple

from .response_parser import MalformedResponse, ResponseParser, WorkerResponse

MAX_RESPONSE_BYTES = 32 * 2**20  # the most bytes that may arrive before the response is complete
ATTEMPT_ID_HEADER = "X-Attempt-Id"


class ConnectionPhase(Enum):
    """The phase of a connection in the exchange of a request and its response."""

    IDLE = "idle"  # no request has been sent yet
    AWAITING_RESPONSE = "awaiting response"  # a request is in flight, and the buffer is empty
    READING_RESPONSE = "reading response"  # a request is in flight, and part of a response has arrived
    RESPONSE_COMPLETE = "response complete"  # the last request was answered; no surplus bytes have arrived
    UNUSABLE = "unusable"  # closed or about to be closed; no request may be sent on it


class AttemptOutcome(Enum):
    """How an attempt at a worker ended. The values are labels of a metric and of log lines."""

    ANSWERED = "whole"  # the complete response to this request arrived
    NOT_SENT = "unsent"  # no byte of the request was sent
    CONNECTION_REJECTED = "turned"  # no byte was sent; the worker accepts no further connections at present
    CONNECTION_BROKEN = "broken"  # the request was sent, and no response to it can arrive any more
    TIMED_OUT = "silent"  # the request was sent, and its deadline has passed


class ExchangeResult(NamedTuple):
    """The outcome of one exchange. `answer` is the response if the outcome is `ANSWERED`, otherwise None."""

    outcome: AttemptOutcome
    response: WorkerResponse | None = None


class WorkerConnectionState:
    """The state machine of one connection to a worker."""

    def __init__(self) -> None:
        self.phase, self.parser = ConnectionPhase.IDLE, ResponseParser()
        self.request_id, self.bytes_received = "", 0
        self.foreign_response_seen = False  # a response to another request arrived on this connection
        # whether a response without an id is accepted for the request in flight
        self.accepts_missing_id = False
        self.requests_sent = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be kept and may carry a request."""
        return self.phase in (ConnectionPhase.IDLE, ConnectionPhase.RESPONSE_COMPLETE)

    @property
    def is_awaiting_response(self) -> bool:
        """Whether a request is in flight on the connection."""
        return self.phase in (ConnectionPhase.AWAITING_RESPONSE, ConnectionPhase.READING_RESPONSE)

    def begin_request(self, request_id: str, is_head_request: bool, accepts_missing_id: bool = False) -> bool:
        """Start an exchange. Returns False if the request must not be sent on this connection.

        `request_id` is the request's `X-Attempt-Id`. `is_head_request` states that its method is HEAD, so
        that its response has no body. `accepts_missing_id` states that a response without an id is accepted
        too. The caller must then check that such a response is not the response to an earlier request.
        """
        if not self.is_reusable:
            return False
        self.phase, self.request_id, self.bytes_received = ConnectionPhase.AWAITING_RESPONSE, request_id, 0
        self.parser.is_head_request, self.accepts_missing_id = is_head_request, accepts_missing_id
        self.requests_sent += 1
        return True

    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        """Process bytes that arrived. Returns the result of the exchange if they end it, otherwise None.

        `unsent_bytes` is the number of bytes of the request that are still in the write buffer. If the
        response arrives before they are sent, the connection is not reused: the worker would read them as the
        start of another request.
        """
        if not self.is_awaiting_response:
            self.phase = ConnectionPhase.UNUSABLE  # the bytes are unsolicited
            return None
        self.bytes_received += len(data)
        self.parser.feed(data)
        try:
            response = self._own_response()
        except MalformedResponse:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        if response is not None:
            may_be_reused = not (
                self.foreign_response_seen
                or self.parser.is_mid_response
                or response.closes_connection
                or unsent_bytes
            )
            self.phase = ConnectionPhase.RESPONSE_COMPLETE if may_be_reused else ConnectionPhase.UNUSABLE
            return ExchangeResult(AttemptOutcome.ANSWERED, response)
        if self.bytes_received > MAX_RESPONSE_BYTES:
            return self._finish(AttemptOutcome.CONNECTION_BROKEN)
        mid_response = self.parser.is_mid_response
        self.phase = ConnectionPhase.READING_RESPONSE if mid_response else ConnectionPhase.AWAITING_RESPONSE
        return None

    def _own_response(self) -> WorkerResponse | None:
        """Return the response to the request in flight, or None until it is complete.

        Interim responses and responses to other requests are discarded. Raises `MalformedResponse` if the
        bytes are not a valid response, or if a response lacks a required id.
        """
        while (response := self.parser.next_response()) is not None:
            if response.status < 200:
                continue
            response_id = response.headers_by_name.get(ATTEMPT_ID_HEADER)
            if response_id == self.request_id:
                return response
            if response_id is None and self.accepts_missing_id:
                return response
            if response_id is None:
                raise MalformedResponse("response without X-Attempt-Id")
            self.foreign_response_seen = True
        return None

    def on_closed(self) -> ExchangeResult | None:
        """Process a close or reset of the connection. A request in flight ends as CONNECTION_BROKEN."""
        return self._finish(AttemptOutcome.CONNECTION_BROKEN)

    def on_timeout(self) -> ExchangeResult | None:
        """Process the expiry of the request's deadline. A request in flight ends as TIMED_OUT.

        Its response may still arrive, so no other request is sent on the connection.
        """
        return self._finish(AttemptOutcome.TIMED_OUT)

    def _finish(self, outcome: AttemptOutcome) -> ExchangeResult | None:
        was_awaiting_response, self.phase = self.is_awaiting_response, ConnectionPhase.UNUSABLE
        return ExchangeResult(outcome) if was_awaiting_response else None
