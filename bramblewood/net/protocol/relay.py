"""The relay's lines: orders into calls, answers, and news."""

from collections.abc import Hashable, Iterable

from ... import events
from .fields import MS_PER_SECOND, InvalidMessage, number, whole_number

MAX_CALL_BYTES = 60_000  # bytes of orders in one call; the protocol's
MAX_CALL_ORDERS = MAX_CALL_BYTES // 6  # the shortest order and its number, ten bytes, come close
WATCH, WATCHED, HEARTBEAT = b"WATCH\r\n", b"OK", b"*"
NOT_YET, MALFORMED = "limit", "malformed"  # errors: of every call before the run begins; of what is no call


def format_number(value: float) -> str:
    """A number without an exponent; a weight that is small must not become none."""
    plain = repr(float(value))
    return f"{value:.12f}" if "e" in plain else plain


def format_order(order: events.Order, operations: list[str]) -> tuple[Hashable, str] | None:
    """An order as the relay's text, and what it settles: a later one of the same key replaces it."""
    match order:
        case events.SetRoute(table, worker, weight):
            return ("route", table, worker), f"SET,{table},{worker},{format_number(weight)}"
        case events.ClearTable(table):
            return ("table", table), f"DEL,{table}"
        case events.ExcludeWorker(worker, out):
            return ("worker", worker), f"{'OUT' if out else 'IN'},{worker}"
        case events.SetAdmission(table, positions, level, retry):
            where = "*" if table == events.ALL_SLICES else str(table)
            which = "+".join(operations[k] for k in positions) or "*"
            return ("admission", table, positions), f"LIMIT,{where},{which},{format_number(level)},{retry}"
        case events.RequestAcknowledgement(number_, everyone):
            return ("acknowledgement",), f"SYNC,{number_},{int(everyone)}"
    return None


def format_call(texts: Iterable[str]) -> bytes:
    """A call with these orders."""
    return b"APPLY " + ";".join(texts).encode() + b"\r\n"


def parse_answer(line: bytes) -> int | str | None:
    """How many orders were taken, the name of an error, or None for what can't be read."""
    words = line.decode("ascii", "replace").split()
    if len(words) == 2 and words[0] == "OK" and words[1].isdigit():
        return int(words[1])
    return next((word for word in words if word in (NOT_YET, MALFORMED)), None)


def parse_update(line: bytes) -> events.Event | None:
    """A line of news as an event; None for a sign of life."""
    if line == HEARTBEAT:
        return None
    words = line.decode("utf-8", "replace").split(" ")
    names = {
        "SUBSCRIBE": ("proxy", "zone", "weight", "fresh"),
        "CLOSED": ("proxy",),
        "ACK": ("proxy", "mark", "took_ms"),
        "GRANT": ("slice", "on"),
        "ROW": ("slice", "server", "weight"),
    }.get(words[1] if words[0] == "*" and words[1:] else "")
    if not names or len(words) != len(names) + 2:
        raise InvalidMessage(f"line {line[:60]!r}")
    fields: dict = dict(zip(names, words[2:], strict=True))
    for name in names:
        if name not in ("zone", "server"):
            try:
                fields[name] = float(fields[name])
            except ValueError:
                raise InvalidMessage(f"line {line[:60]!r}") from None
    match words[1]:
        case "SUBSCRIBE":
            return events.ProxyJoined(
                whole_number(fields, "proxy"),
                fields["zone"],
                number(fields, "weight"),
                number(fields, "fresh") > 0,
            )
        case "CLOSED":
            return events.ProxyLeft(whole_number(fields, "proxy"))
        case "ACK":
            return events.MessageAcknowledged(
                whole_number(fields, "proxy"),
                whole_number(fields, "mark"),
                number(fields, "took_ms") / MS_PER_SECOND,
            )
        case "GRANT":
            return events.SliceAssigned(whole_number(fields, "slice"), number(fields, "on") > 0)
    return events.RouteStored(whole_number(fields, "slice"), fields["server"], number(fields, "weight"))
