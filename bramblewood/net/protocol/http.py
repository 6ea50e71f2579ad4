"""HTTP/1.1 as this program speaks it: requests without a body, answers read by httptools."""

import httptools

from .fields import ProtocolError

MAX_BODY_BYTES = 1 << 21  # bytes of a body kept; a list of thousands of workers is smaller


def format_get(path: str, host: str, keep: bool = False) -> bytes:
    """A request without a body; keep: the connection stays open."""
    end = "keep-alive" if keep else "close"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: {end}\r\n\r\n".encode()


class HttpResponse:
    """One answer as it comes in: its status, what of the body is there, and whether it is whole."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.body, self.complete = 0, bytearray(), False

    def feed(self, data: bytes) -> None:
        """Read more of the answer; raises ProtocolError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            raise ProtocolError(f"no HTTP: {problem}") from None
        if len(self.body) > MAX_BODY_BYTES:
            raise ProtocolError("a body longer than is kept")

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.complete = True

    def lines(self) -> list[bytes]:
        """The whole lines of the body so far; a part of one stays."""
        *complete, rest = bytes(self.body).split(b"\n")
        self.body[:] = rest
        return [line.strip() for line in complete]
