"""Answers of workers, read from bytes as they come. Pure.

Stricter than a client of the open web has to be: what is not surely one whole answer is `Malformed`. An
answer whose end only the close of its connection would tell can't be told from one that was cut, so it is
none. The framing is RFC 9112, section 6.
"""

import re
from typing import NamedTuple

from multidict import CIMultiDict

MAX_HEAD_BYTES = 2**16  # bytes of an answer's head, or of its trailers
VERSION_PREFIX = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9]\d\d)(?: ([^\r\n\0]*))?")
HEADER_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*?)[ \t]*")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n\0]*)?")
# a status line inside a head: an answer that was cut there, and the next one
EMBEDDED_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d\d\d")
SINGLE_VALUE_HEADERS = ("X-Attempt-Id", "Content-Length", "Transfer-Encoding")


class MalformedResponse(ValueError):
    """Bytes that form no whole answer."""


class WorkerResponse(NamedTuple):
    status: int
    reason: str
    raw_headers: tuple  # raw (name, value) pairs
    headers_by_name: CIMultiDict  # by name, any case
    body: bytes = b""
    closes_connection: bool = False  # the worker ends the connection after it


def parse_head(text: bytes) -> WorkerResponse:
    """An answer's head, without the empty line that ends it."""
    status_line, *lines = text.split(b"\r\n")
    match = STATUS_LINE.fullmatch(status_line)
    if match is None or EMBEDDED_STATUS_LINE.search(text, 1):
        raise MalformedResponse(status_line)
    raw_headers, headers_by_name = [], CIMultiDict()
    for line in lines:
        field = HEADER_FIELD.fullmatch(line)
        if field is None:
            raise MalformedResponse(line)
        raw_headers.append(field.groups())
        headers_by_name.add(field[1].decode(), field[2].decode("utf-8", "surrogateescape"))
    if any(len(headers_by_name.getall(name, ())) > 1 for name in SINGLE_VALUE_HEADERS):
        raise MalformedResponse("a field that may stand once")
    options = ",".join(headers_by_name.getall("Connection", ())).lower().split(",")
    closes_connection = match[1] == b"0" or "close" in [option.strip() for option in options]
    reason = (match[3] or b"").decode("utf-8", "surrogateescape")
    return WorkerResponse(int(match[2]), reason, tuple(raw_headers), headers_by_name, b"", closes_connection)


class ResponseParser:
    """The answers on one connection."""

    def __init__(self) -> None:
        self.buffer, self.head_request = (
            bytearray(),
            False,
        )  # bare: the request is a HEAD, its answer has no body
        self.response_head: WorkerResponse | None = None
        self.bytes_needed: int | None = (
            0  # bytes of the body, or of the chunk and its line's end; None: not told yet
        )
        self.chunks: list[bytes] | None = None  # chunks so far, where the body is chunked

    @property
    def is_mid_response(self) -> bool:
        """Bytes of an answer that is not whole are here."""
        return bool(self.buffer) or self.response_head is not None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next_response(self) -> WorkerResponse | None:
        """The next whole answer, or None until more bytes come; raises Malformed."""
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
        whole, self.response_head, self.chunks = self.response_head._replace(body=body), None, None
        return whole

    def _consume(self, count: int) -> bytes:
        with memoryview(self.buffer) as view:
            data = bytes(view[:count])
        del self.buffer[:count]
        return data

    def _read_line(self, end: bytes) -> bytes | None:
        """What comes before this end, both taken out of the buffer."""
        position = self.buffer.find(end)
        if position > MAX_HEAD_BYTES or position < 0 and len(self.buffer) > MAX_HEAD_BYTES:
            raise MalformedResponse("too long")
        return self._consume(position + len(end))[: -len(end)] if position >= 0 else None

    def _read_head(self) -> bool:
        if self.buffer[: len(VERSION_PREFIX)] != VERSION_PREFIX[: len(self.buffer)]:
            raise MalformedResponse(bytes(self.buffer[: len(VERSION_PREFIX)]))
        text = self._read_line(b"\r\n\r\n")
        if text is None:
            if b"\n" in self.buffer and not STATUS_LINE.fullmatch(self.buffer.partition(b"\r\n")[0]):
                raise MalformedResponse("a status line")
            return False
        response_head = parse_head(text)
        transfer_coding, length = (
            response_head.headers_by_name.get("Transfer-Encoding"),
            response_head.headers_by_name.get("Content-Length"),
        )
        if (
            response_head.status == 101
            or transfer_coding is not None
            and (length is not None or transfer_coding.lower() != "chunked")
        ):
            raise MalformedResponse("a switch of protocol, or two lengths")
        if length is not None and not (length.isascii() and length.isdigit() and len(length) < 16):
            raise MalformedResponse("a length")
        self.bytes_needed, self.chunks = int(length or 0), None
        if self.head_request or response_head.status < 200 or response_head.status in (204, 304):
            self.bytes_needed = 0
        elif transfer_coding is not None:
            self.bytes_needed, self.chunks = None, []
        elif length is None:
            if (
                "X-Not-Run" not in response_head.headers_by_name
            ):  # which its head alone says, whatever its body
                raise MalformedResponse("only the close would tell its end")
            response_head = response_head._replace(closes_connection=True)
        self.response_head = response_head
        return True

    def _read_chunks(self) -> bool:
        """Whether the last chunk and its trailers are here; chunks that are whole go to `parts`."""
        while True:
            if self.bytes_needed is None:
                line = self._read_line(b"\r\n")
                if line is None:
                    return False
                if (size := CHUNK_SIZE_LINE.fullmatch(line)) is None:
                    raise MalformedResponse(line)
                self.bytes_needed = int(size[1], 16) + 2
            if self.bytes_needed == 2:
                return self._read_trailers()
            if len(self.buffer) < self.bytes_needed:
                return False
            chunk = self._consume(self.bytes_needed)
            if not chunk.endswith(b"\r\n"):
                raise MalformedResponse("a chunk's end")
            self.chunks.append(chunk[:-2])
            self.bytes_needed = None

    def _read_trailers(self) -> bool:
        """Trailers are let fall: the client gets the body with its length."""
        while (line := self._read_line(b"\r\n")) is not None:
            if not line:
                return True
            if not HEADER_FIELD.fullmatch(line) or EMBEDDED_STATUS_LINE.search(line):
                raise MalformedResponse(line)
        return False
