"""Parser of workers' responses, from bytes as they arrive. Pure.

Stricter than a client of the open web has to be: what is not surely one complete response is a
`MalformedResponse`. One whose end only the close of its connection would tell can't be told from one that was
truncated, so it is malformed. The framing is RFC 9112, section 6.
"""

import re
from typing import NamedTuple

from multidict import CIMultiDict

from .errors import BramblewoodError

MAX_HEAD_BYTES = 2**16  # of a response's head, or of its trailers
VERSION_PREFIX = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9]\d\d)(?: ([^\r\n\0]*))?")
HEADER_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*?)[ \t]*")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n\0]*)?")
# a status line inside a head: a response that was truncated there, and the next one
EMBEDDED_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d\d\d")
SINGLE_VALUE_HEADERS = ("X-Attempt-Id", "Content-Length", "Transfer-Encoding")
MAX_LENGTH_DIGITS = 15
CRLF = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"


class MalformedResponse(BramblewoodError, ValueError):
    """Bytes that form no complete response."""

    step = "response"


class WorkerResponse(NamedTuple):
    """A response; raw_headers are (name, value) pairs in bytes, headers_by_name the same in any case."""

    status: int
    reason: str
    raw_headers: tuple[tuple[bytes, bytes], ...]
    headers_by_name: CIMultiDict[str]
    body: bytes = b""
    closes_connection: bool = False  # the worker ends the connection after it


def parse_head(text: bytes) -> WorkerResponse:
    """A response's head, given without the empty line that ends it; raises `MalformedResponse`."""
    first_line, *lines = text.split(CRLF)
    status_line = STATUS_LINE.fullmatch(first_line)
    if status_line is None or EMBEDDED_STATUS_LINE.search(text, 1):
        raise MalformedResponse(first_line)
    raw_headers, headers_by_name = [], CIMultiDict()
    for line in lines:
        field = HEADER_FIELD.fullmatch(line)
        if field is None:
            raise MalformedResponse(line)
        raw_headers.append(field.groups())
        headers_by_name.add(field[1].decode(), field[2].decode("utf-8", "surrogateescape"))
    if any(len(headers_by_name.getall(name, ())) > 1 for name in SINGLE_VALUE_HEADERS):
        raise MalformedResponse("a header more than once")
    version, status, reason = status_line.groups()
    options = ",".join(headers_by_name.getall("Connection", ())).lower().split(",")
    closes = version == b"0" or "close" in [option.strip() for option in options]
    text_reason = (reason or b"").decode("utf-8", "surrogateescape")
    return WorkerResponse(int(status), text_reason, tuple(raw_headers), headers_by_name, b"", closes)


def check_framing(head: WorkerResponse) -> tuple[bool, int | None]:
    """Whether the body is chunked, and its `Content-Length`; raises `MalformedResponse`."""
    coding = head.headers_by_name.get("Transfer-Encoding")
    length = head.headers_by_name.get("Content-Length")
    if head.status == 101:
        raise MalformedResponse("a switch of protocol")
    if coding is not None and (length is not None or coding.lower() != "chunked"):
        raise MalformedResponse("two lengths, or another coding")
    if length is None:
        return coding is not None, None
    if not (length.isascii() and length.isdigit() and len(length) <= MAX_LENGTH_DIGITS):
        raise MalformedResponse("a length")
    return False, int(length)


class ResponseParser:
    """The responses on one connection, in the order of their arrival.

    head_request: the request is a HEAD, so its response has no body. bytes_needed: of the body, or of the
    chunk with its line's end; None while the chunk's size is not known. chunks: so far, where the body is
    chunked.
    """

    def __init__(self) -> None:
        self.buffer, self.head_request = bytearray(), False
        self.response_head: WorkerResponse | None = None
        self.bytes_needed: int | None = 0
        self.chunks: list[bytes] | None = None

    @property
    def is_mid_response(self) -> bool:
        """Whether bytes of an incomplete response are here."""
        return bool(self.buffer) or self.response_head is not None

    def feed(self, data: bytes) -> None:
        """Bytes arrived."""
        self.buffer += data

    def next_response(self) -> WorkerResponse | None:
        """The next complete response, or None until more bytes arrive; raises `MalformedResponse`."""
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
        return response

    def _consume(self, count: int) -> bytes:
        with memoryview(self.buffer) as view:
            data = bytes(view[:count])
        del self.buffer[:count]
        return data

    def _read_until(self, end: bytes) -> bytes | None:
        """What comes before this end, both taken out of the buffer; None while the end is not here."""
        position = self.buffer.find(end)
        if position > MAX_HEAD_BYTES or position < 0 and len(self.buffer) > MAX_HEAD_BYTES:
            raise MalformedResponse("too long")
        return self._consume(position + len(end))[: -len(end)] if position >= 0 else None

    def _read_head(self) -> bool:
        """Whether the head is here; it and what is needed of the body are then known."""
        if self.buffer[: len(VERSION_PREFIX)] != VERSION_PREFIX[: len(self.buffer)]:
            raise MalformedResponse(bytes(self.buffer[: len(VERSION_PREFIX)]))
        text = self._read_until(END_OF_HEAD)
        if text is None:
            if b"\n" in self.buffer and not STATUS_LINE.fullmatch(self.buffer.partition(CRLF)[0]):
                raise MalformedResponse("a status line")
            return False
        head = parse_head(text)
        is_chunked, length = check_framing(head)
        self.bytes_needed, self.chunks = length or 0, None
        if self.head_request or head.status < 200 or head.status in (204, 304):
            self.bytes_needed = 0
        elif is_chunked:
            self.bytes_needed, self.chunks = None, []
        elif length is None:
            if "X-Not-Run" not in head.headers_by_name:  # which its head alone says, whatever its body
                raise MalformedResponse("only the close would tell its end")
            head = head._replace(closes_connection=True)
        self.response_head = head
        return True

    def _read_chunks(self) -> bool:
        """Whether the last chunk and its trailers are here; complete chunks go to `chunks`."""
        while True:
            if self.bytes_needed is None:
                line = self._read_until(CRLF)
                if line is None:
                    return False
                if (size := CHUNK_SIZE_LINE.fullmatch(line)) is None:
                    raise MalformedResponse(line)
                self.bytes_needed = int(size[1], 16) + len(CRLF)
            if self.bytes_needed == len(CRLF):
                return self._read_trailers()
            if len(self.buffer) < self.bytes_needed:
                return False
            chunk = self._consume(self.bytes_needed)
            if not chunk.endswith(CRLF):
                raise MalformedResponse("a chunk's end")
            self.chunks.append(chunk[: -len(CRLF)])
            self.bytes_needed = None

    def _read_trailers(self) -> bool:
        """Whether the trailers are here; they are dropped, as the client gets the body with its length."""
        while (line := self._read_until(CRLF)) is not None:
            if not line:
                return True
            if not HEADER_FIELD.fullmatch(line) or EMBEDDED_STATUS_LINE.search(line):
                raise MalformedResponse(line)
        return False
