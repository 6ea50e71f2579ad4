"""Hosts many managers in one process: a batch in, each manager's orders out. Managers share nothing."""

from collections.abc import Iterable
from typing import BinaryIO

from .. import events
from ..policy.manager import Manager
from ..startup_settings import MS, parse_settings
from .wire import (
    Fields,
    MalformedInput,
    Message,
    decode,
    encode,
    format_order,
    parse_event,
    parse_listed_worker,
)

COMPLETE, CACHED, FAILED = 1, 2, 3  # forms of a view of the worker list; others are changes only
Batches = dict[int, list[events.Event]]  # events by manager


class Host:
    """The managers of this process, and the numbered worker lists that views name."""

    def __init__(self) -> None:
        self.managers: dict[int, Manager] = {}
        self.worker_lists: dict[int, tuple[events.ListedWorker, ...]] = {}

    def handle_batch(self, now: float, messages: Iterable[Message]) -> list[bytes]:
        """Answer one batch; events reach each manager in the order in which they came."""
        batches: Batches = {}
        for message in messages:
            try:
                self.accept(message, batches)
            except (KeyError, TypeError, ValueError, AttributeError) as problem:
                what = f"lacks or does not know {problem}" if isinstance(problem, KeyError) else str(problem)
                raise MalformedInput(f"{message.where}: {message.name}: {what}") from None
        return [line for who, batch in batches.items() for line in self.answer(who, now, batch)]

    def accept(self, message: Message, batches: Batches) -> None:
        """Start or end a manager, keep a list, or add an event for a manager that runs."""
        name, fields = message.name, message.fields
        if name == "ledger":
            self.worker_lists[fields["list"]] = tuple(parse_listed_worker(item) for item in fields["items"])
            return
        who = fields["who"]
        if name == "start":
            self.managers[who] = Manager(fields["seed"], parse_settings(fields["options"]))
            batches[who] = []
        elif name == "crash_now":
            self.managers.pop(who, None)
            batches.pop(who, None)
        elif who in self.managers:
            event = self.parse_view(fields) if name == "view" else parse_event(name, fields)
            batches.setdefault(who, []).append(event)

    def parse_view(self, fields: Fields) -> events.Event:
        """A manager's view of the worker list, which names a list that was sent before."""
        form = fields["form"]
        if form == FAILED:
            return events.WorkerListFailed()
        workers = self.worker_lists[fields["list"]]
        return events.WorkersListed(workers, complete=form in (COMPLETE, CACHED), cached=form == CACHED)

    def answer(self, who: int, now: float, batch: list[events.Event]) -> list[bytes]:
        """One manager's orders as lines; whatever it raises is reported in their place, never swallowed."""
        try:
            replies = [format_order(order) for order in self.managers[who].handle(now, batch)]
        except Exception as problem:
            replies = [("bug", {"what": f"{type(problem).__name__}: {problem}"})]
        return [encode(reply[0], {"who": who, **reply[1]}) for reply in replies if reply is not None]


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Read batches until the input ends, and write the replies to each; raises MalformedInput."""
    host = Host()
    header: Fields | None = None  # of the batch that is being read
    messages: list[Message] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        message = decode(line, f"line {number}")
        if message.name == "clock":
            check_header(message, header)
            header, messages = message.fields, []
        elif header is None:
            raise MalformedInput(f"{message.where}: {message.name} outside a batch")
        elif message.name == "eof_batch":
            out.writelines(host.handle_batch(header["t"] / MS, messages))
            out.write(encode("ack", {"round": header["round"]}))
            out.flush()
            header = None
        else:
            messages.append(message)
    if header is not None:
        raise MalformedInput(f"input ends inside batch {header['round']}")


def check_header(message: Message, open_header: Fields | None) -> None:
    """Raise MalformedInput for a clock inside another batch, or without time or number."""
    if open_header is not None:
        raise MalformedInput(f"{message.where}: clock inside batch {open_header['round']}")
    if not isinstance(message.fields.get("t"), (int, float)) or "round" not in message.fields:
        raise MalformedInput(f"{message.where}: clock lacks t or round")
