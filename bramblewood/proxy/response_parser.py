"""Answers of workers, read from bytes as they come. Pure.

Stricter than a client of the open web has to be: what is not surely one whole answer is `Malformed`. An
answer whose end only the close of its connection would tell can't be told from one that was cut, so it is
none. The framing is RFC 9112, section 6.
"""

import re
from typing import NamedTuple

from multidict import CIMultiDict

HEAD_MOST = 2**16  # bytes of an answer's head, or of its trailers
START = b"HTTP/1."
STATUS = re.compile(rb"HTTP/1\.([01]) ([1-9]\d\d)(?: ([^\r\n\0]*))?")
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*?)[ \t]*")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n\0]*)?")
# a status line inside a head: an answer that was cut there, and the next one
GLUED = re.compile(rb"HTTP/1\.[01] \d\d\d")
ONCE = ("X-Attempt-Id", "Content-Length", "Transfer-Encoding")


class Malformed(ValueError):
    """Bytes that form no whole answer."""


class Answer(NamedTuple):
    status: int
    reason: str
    headers: tuple  # raw (name, value) pairs
    named: CIMultiDict  # by name, any case
    body: bytes = b""
    closes: bool = False  # the worker ends the connection after it


def head_of(text: bytes) -> Answer:
    """An answer's head, without the empty line that ends it."""
    first, *lines = text.split(b"\r\n")
    told = STATUS.fullmatch(first)
    if told is None or GLUED.search(text, 1):
        raise Malformed(first)
    raw, named = [], CIMultiDict()
    for line in lines:
        field = FIELD.fullmatch(line)
        if field is None:
            raise Malformed(line)
        raw.append(field.groups())
        named.add(field[1].decode(), field[2].decode("utf-8", "surrogateescape"))
    if any(len(named.getall(name, ())) > 1 for name in ONCE):
        raise Malformed("a field that may stand once")
    options = ",".join(named.getall("Connection", ())).lower().split(",")
    closes = told[1] == b"0" or "close" in [option.strip() for option in options]
    reason = (told[3] or b"").decode("utf-8", "surrogateescape")
    return Answer(int(told[2]), reason, tuple(raw), named, b"", closes)


class Reader:
    """The answers on one connection."""

    def __init__(self) -> None:
        self.buffer, self.bare = bytearray(), False  # bare: the request is a HEAD, its answer has no body
        self.head: Answer | None = None
        self.need: int | None = 0  # bytes of the body, or of the chunk and its line's end; None: not told yet
        self.parts: list[bytes] | None = None  # chunks so far, where the body is chunked

    @property
    def begun(self) -> bool:
        """Bytes of an answer that is not whole are here."""
        return bool(self.buffer) or self.head is not None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def take(self) -> Answer | None:
        """The next whole answer, or None until more bytes come; raises Malformed."""
        if self.head is None and not self.read_head():
            return None
        if self.parts is None:
            if len(self.buffer) < self.need:
                return None
            body = self.cut(self.need)
        elif self.read_chunks():
            body = b"".join(self.parts)
        else:
            return None
        whole, self.head, self.parts = self.head._replace(body=body), None, None
        return whole

    def cut(self, count: int) -> bytes:
        with memoryview(self.buffer) as view:
            data = bytes(view[:count])
        del self.buffer[:count]
        return data

    def line(self, end: bytes) -> bytes | None:
        """What comes before this end, both taken out of the buffer."""
        place = self.buffer.find(end)
        if place > HEAD_MOST or place < 0 and len(self.buffer) > HEAD_MOST:
            raise Malformed("too long")
        return self.cut(place + len(end))[: -len(end)] if place >= 0 else None

    def read_head(self) -> bool:
        if self.buffer[: len(START)] != START[: len(self.buffer)]:
            raise Malformed(bytes(self.buffer[: len(START)]))
        text = self.line(b"\r\n\r\n")
        if text is None:
            if b"\n" in self.buffer and not STATUS.fullmatch(self.buffer.partition(b"\r\n")[0]):
                raise Malformed("a status line")
            return False
        head = head_of(text)
        coding, length = head.named.get("Transfer-Encoding"), head.named.get("Content-Length")
        if head.status == 101 or coding is not None and (length is not None or coding.lower() != "chunked"):
            raise Malformed("a switch of protocol, or two lengths")
        if length is not None and not (length.isascii() and length.isdigit() and len(length) < 16):
            raise Malformed("a length")
        self.need, self.parts = int(length or 0), None
        if self.bare or head.status < 200 or head.status in (204, 304):
            self.need = 0
        elif coding is not None:
            self.need, self.parts = None, []
        elif length is None:
            if "X-Not-Run" not in head.named:  # which its head alone says, whatever its body
                raise Malformed("only the close would tell its end")
            head = head._replace(closes=True)
        self.head = head
        return True

    def read_chunks(self) -> bool:
        """Whether the last chunk and its trailers are here; chunks that are whole go to `parts`."""
        while True:
            if self.need is None:
                told = self.line(b"\r\n")
                if told is None:
                    return False
                if (size := SIZE.fullmatch(told)) is None:
                    raise Malformed(told)
                self.need = int(size[1], 16) + 2
            if self.need == 2:
                return self.read_trailers()
            if len(self.buffer) < self.need:
                return False
            chunk = self.cut(self.need)
            if not chunk.endswith(b"\r\n"):
                raise Malformed("a chunk's end")
            self.parts.append(chunk[:-2])
            self.need = None

    def read_trailers(self) -> bool:
        """Trailers are let fall: the client gets the body with its length."""
        while (told := self.line(b"\r\n")) is not None:
            if not told:
                return True
            if not FIELD.fullmatch(told) or GLUED.search(told):
                raise Malformed(told)
        return False
