"""HTTP/1.1 as this program speaks it: requests without a body, answers read by httptools."""

import httptools

from .words import Unreadable

LONGEST = 1 << 21  # bytes of a body kept; a list of thousands of workers is smaller


def get(path: str, host: str, keep: bool = False) -> bytes:
    end = "keep-alive" if keep else "close"
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: {end}\r\n\r\n".encode()


class Answer:
    """One answer as it comes in: its status, what of the body is there, and whether it is whole."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.body, self.whole = 0, bytearray(), False

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as problem:
            raise Unreadable(f"no HTTP: {problem}") from None
        if len(self.body) > LONGEST:
            raise Unreadable("a body longer than is kept")

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True

    def lines(self) -> list[bytes]:
        """The whole lines of the body so far; a part of one stays."""
        *whole, rest = bytes(self.body).split(b"\n")
        self.body[:] = rest
        return [line.strip() for line in whole]
