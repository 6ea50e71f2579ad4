"""Parses workers' responses incrementally, from bytes as they arrive. The module does no I/O.

The framing is that of RFC 9112, section 6, but the parser is stricter than the RFC: bytes that are not
certain to be a complete response raise `MalformedResponse`. A response that ends only with the
close of its connection is malformed, since it cannot be distinguished from a truncated one. The exception is
a response with the header `X-Not-Run`, whose meaning does not depend on its body.
"""

import re
from typing import NamedTuple

from multidict import CIMultiDict

from .errors import BramblewoodError

MAX_HEAD_BYTES = 2**16  # the most bytes of a response's head, of a chunk-size line or of a trailer line
VERSION_PREFIX = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9]\d\d)(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?")
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
HEADER_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")  # no control characters but the tab
OPTIONAL_WHITESPACE = b" \t"
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n\0]*)?")
# a status line within a head or a trailer, where the response was truncated and the next one begins
EMBEDDED_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d\d\d")
SINGLE_VALUE_HEADERS = ("X-Attempt-Id", "Content-Length", "Transfer-Encoding")
MAX_LENGTH_DIGITS = 15
CRLF = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"


class MalformedResponse(BramblewoodError, ValueError):
    """The received bytes are not a valid response."""

    step = "response"


class WorkerResponse(NamedTuple):
    """A response to a request.

    `raw_headers` contains (name, value) pairs as they were received. `headers_by_name` contains the same
    headers by case-insensitive name.
    """

    status: int
    reason: str
    raw_headers: tuple[tuple[bytes, bytes], ...]
    headers_by_name: CIMultiDict[str]
    body: bytes = b""
    closes_connection: bool = False  # whether the worker closes the connection after it


def parse_header_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name of a header field and its value without the whitespace around it.

    The time is linear in the length of the line, whatever it contains. Raises `MalformedResponse`.
    """
    name, colon, value = line.partition(b":")
    if not colon or not HEADER_NAME.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
        raise MalformedResponse(f"malformed header {line!r:.80}")
    return name, value.strip(OPTIONAL_WHITESPACE)


def parse_head(text: bytes) -> WorkerResponse:
    """Parse the head of a response, without the empty line that ends it.

    Returns a response with an empty body. Raises `MalformedResponse` if the head is malformed or contains one
    of SINGLE_VALUE_HEADERS more than once.
    """
    first_line, *lines = text.split(CRLF)
    status_line = STATUS_LINE.fullmatch(first_line)
    if status_line is None or EMBEDDED_STATUS_LINE.search(text, 1):
        raise MalformedResponse(
            f"malformed or second status line in a head that begins with {first_line!r:.80}"
        )
    raw_headers, headers_by_name = [], CIMultiDict()
    for line in lines:
        name, value = parse_header_field(line)
        raw_headers.append((name, value))
        headers_by_name.add(name.decode(), value.decode("utf-8", "surrogateescape"))
    if any(len(headers_by_name.getall(name, ())) > 1 for name in SINGLE_VALUE_HEADERS):
        raise MalformedResponse(f"one of the headers {', '.join(SINGLE_VALUE_HEADERS)} is repeated")
    version, status, reason = status_line.groups()
    connection_options = ",".join(headers_by_name.getall("Connection", ())).lower().split(",")
    closes = version == b"0" or "close" in [option.strip() for option in connection_options]
    reason_text = (reason or b"").decode("utf-8", "surrogateescape")
    return WorkerResponse(int(status), reason_text, tuple(raw_headers), headers_by_name, b"", closes)


def check_framing(head: WorkerResponse) -> tuple[bool, int | None]:
    """Return whether the body is chunked, and its `Content-Length` or None.

    Raises `MalformedResponse` if the head switches protocols, or if its `Transfer-Encoding` or
    `Content-Length` is invalid.
    """
    coding = head.headers_by_name.get("Transfer-Encoding")
    length = head.headers_by_name.get("Content-Length")
    if head.status == 101:
        raise MalformedResponse("status 101 switches protocols")
    if coding is not None and (length is not None or coding.lower() != "chunked"):
        raise MalformedResponse(
            f"unsupported framing: Transfer-Encoding {coding!r:.60}, Content-Length {length!r:.60}"
        )
    if length is None:
        return coding is not None, None
    if not (length.isascii() and length.isdigit() and len(length) <= MAX_LENGTH_DIGITS):
        raise MalformedResponse(
            f"expected a Content-Length of 1 to {MAX_LENGTH_DIGITS} digits, found {length!r:.60}"
        )
    return False, int(length)


class ResponseParser:
    """Parses the responses on one connection, in the order of their arrival.

    `is_head_request` states that the request's method is HEAD, so that its response has no body.
    `response_head` is the head of the response that is being read, or None until that head is complete.
    `bytes_needed` is the length of the body, or of the current chunk with its line end; it is None until the
    size of the chunk is known. `chunks` contains the chunks received so far, or is None if the body is not
    chunked.
    """

    def __init__(self) -> None:
        self.buffer, self.is_head_request = bytearray(), False
        self.response_head: WorkerResponse | None = None
        self.bytes_needed: int | None = 0
        self.chunks: list[bytes] | None = None
        self._chunk_bytes = 0  # in `chunks`
        self._scanned = 0  # bytes at the start of the buffer that do not contain the awaited delimiter
        self._newline_scanned = 0  # bytes at the start of the buffer that do not contain a line feed
        self._is_first_line_checked = False  # whether the first line of an incomplete head is a status line

    @property
    def is_mid_response(self) -> bool:
        """Whether part of a response has arrived, and the response is incomplete."""
        return bool(self.buffer) or self.response_head is not None

    @property
    def response_bytes(self) -> int:
        """The bytes of the response that is being read: what arrived, or its stated length if longer."""
        stated = (self.bytes_needed or 0) if self.response_head is not None else 0
        return self._chunk_bytes + max(len(self.buffer), stated)

    def feed(self, data: bytes) -> None:
        """Append bytes that arrived to the buffer."""
        self.buffer += data

    def next_response(self) -> WorkerResponse | None:
        """Return the next response, or None if it is incomplete.

        Raises `MalformedResponse` if the bytes in the buffer are not a valid response.
        """
        if self.response_head is None and not self._read_head():
            return None
        if self.chunks is None:
            if len(self.buffer) < self.bytes_needed:
                return None
            body = self._consume(self.bytes_needed)
        elif self._read_chunks():
            body = b"".join(self.chunks)
        else:
            return None
        response, self.response_head, self.chunks = self.response_head._replace(body=body), None, None
        self._chunk_bytes = 0
        return response

    def _consume(self, count: int) -> bytes:
        with memoryview(self.buffer) as view:
            data = bytes(view[:count])
        del self.buffer[:count]
        self._scanned = self._newline_scanned = 0
        return data

    def _read_until(self, delimiter: bytes) -> bytes | None:
        """Remove the bytes up to and including `delimiter` from the buffer, and return those before it.

        Returns None if the buffer does not contain `delimiter`. Raises `MalformedResponse` if there are more
        than MAX_HEAD_BYTES before it.
        """
        position = self.buffer.find(delimiter, self._scanned)
        if position > MAX_HEAD_BYTES or position < 0 and len(self.buffer) > MAX_HEAD_BYTES:
            raise MalformedResponse(f"more than {MAX_HEAD_BYTES} bytes without {delimiter!r}")
        if position < 0:
            self._scanned = max(len(self.buffer) - len(delimiter) + 1, 0)
            return None
        return self._consume(position + len(delimiter))[: -len(delimiter)]

    def _read_head(self) -> bool:
        """Return whether the head is complete.

        If it is, set `response_head`, `bytes_needed` and `chunks`.
        """
        if self.buffer[: len(VERSION_PREFIX)] != VERSION_PREFIX[: len(self.buffer)]:
            raise MalformedResponse(f"response begins with {bytes(self.buffer[: len(VERSION_PREFIX)])!r}")
        text = self._read_until(END_OF_HEAD)
        if text is None:
            self._check_first_line()
            return False
        self._is_first_line_checked = False
        head = parse_head(text)
        is_chunked, length = check_framing(head)
        self.bytes_needed, self.chunks = length or 0, None
        if self.is_head_request or head.status < 200 or head.status in (204, 304):
            self.bytes_needed = 0
        elif is_chunked:
            self.bytes_needed, self.chunks = None, []
        elif length is None:
            if "X-Not-Run" not in head.headers_by_name:  # with it, the body does not matter
                raise MalformedResponse(
                    "neither Content-Length nor Transfer-Encoding states the length of the body"
                )
            head = head._replace(closes_connection=True)
        self.response_head = head
        return True

    def _check_first_line(self) -> None:
        """Check the first line of an incomplete head once it has arrived.

        Raises `MalformedResponse` if it is not a status line.
        """
        if self._is_first_line_checked:
            return
        if self.buffer.find(b"\n", self._newline_scanned) < 0:
            self._newline_scanned = len(self.buffer)
            return
        self._is_first_line_checked = True
        if not STATUS_LINE.fullmatch(self.buffer.partition(CRLF)[0]):
            raise MalformedResponse("first line is not a status line")

    def _read_chunks(self) -> bool:
        """Move complete chunks to `chunks`. Returns whether the last chunk and the trailers are complete."""
        while True:
            if self.bytes_needed is None:
                line = self._read_until(CRLF)
                if line is None:
                    return False
                if (size := CHUNK_SIZE_LINE.fullmatch(line)) is None:
                    raise MalformedResponse(f"malformed chunk size {line!r:.80}")
                self.bytes_needed = int(size[1], 16) + len(CRLF)
            if self.bytes_needed == len(CRLF):
                return self._read_trailers()
            if len(self.buffer) < self.bytes_needed:
                return False
            chunk = self._consume(self.bytes_needed)
            if not chunk.endswith(CRLF):
                raise MalformedResponse("chunk does not end with CRLF")
            self.chunks.append(chunk[: -len(CRLF)])
            self._chunk_bytes += len(chunk)
            self.bytes_needed = None

    def _read_trailers(self) -> bool:
        """Return whether the trailers are complete.

        They are dropped, since the client receives the body with a `Content-Length`.
        """
        while (line := self._read_until(CRLF)) is not None:
            if not line:
                return True
            parse_header_field(line)
            if EMBEDDED_STATUS_LINE.search(line):
                raise MalformedResponse(f"malformed trailer {line!r:.80}")
        return False
