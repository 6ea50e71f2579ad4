"""Runs many managers in one process: reads batches of messages and writes the orders of each manager.

Managers share no state.
"""

from collections.abc import Iterable
from typing import BinaryIO

from .. import events
from ..policy.manager import Manager
from ..startup_settings import MS_PER_SECOND, parse_settings
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

COMPLETE, CACHED, FAILED = 1, 2, 3  # forms of a view of the worker list; any other form has only changes
Batches = dict[int, list[events.Event]]  # events by manager id


class Host:
    """Holds the managers of this process, and the numbered worker lists that views refer to."""

    def __init__(self) -> None:
        self.managers: dict[int, Manager] = {}
        self.worker_lists: dict[int, tuple[events.ListedWorker, ...]] = {}

    def handle_batch(self, now: float, messages: Iterable[Message]) -> list[bytes]:
        """Return the reply lines of one batch at unix time `now`. Each manager receives its events in order.

        Raises MalformedInput.
        """
        batches: Batches = {}
        for message in messages:
            try:
                self.apply(message, batches)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                reason = f"missing or unknown: {error}" if isinstance(error, KeyError) else str(error)
                raise MalformedInput(f"{message.location}: {message.name}: {reason}") from None
        return [
            line for manager_id, batch in batches.items() for line in self.run_manager(manager_id, now, batch)
        ]

    def apply(self, message: Message, batches: Batches) -> None:
        """Start or end a manager, store a worker list, or add an event to the batch of a running manager."""
        name, fields = message.name, message.fields
        if name == "ledger":
            self.worker_lists[fields["list"]] = tuple(parse_listed_worker(item) for item in fields["items"])
            return
        manager_id = fields["who"]
        if name == "start":
            self.managers[manager_id] = Manager(fields["seed"], parse_settings(fields["options"]))
            batches[manager_id] = []
        elif name == "crash_now":
            self.managers.pop(manager_id, None)
            batches.pop(manager_id, None)
        elif manager_id in self.managers:
            event = self.parse_view(fields) if name == "view" else parse_event(name, fields)
            batches.setdefault(manager_id, []).append(event)

    def parse_view(self, fields: Fields) -> events.Event:
        """Return the event of a view of the worker list. The view refers to a list that was sent before."""
        form = fields["form"]
        if form == FAILED:
            return events.WorkerListFailed()
        workers = self.worker_lists[fields["list"]]
        return events.WorkersListed(workers, complete=form in (COMPLETE, CACHED), cached=form == CACHED)

    def run_manager(self, manager_id: int, now: float, batch: list[events.Event]) -> list[bytes]:
        """Return the orders of one manager as lines; if it raises, a line that reports the exception."""
        try:
            replies = [format_order(order) for order in self.managers[manager_id].handle(now, batch)]
        except Exception as error:
            replies = [("bug", {"what": f"{type(error).__name__}: {error}"})]
        return [encode(reply[0], {"who": manager_id, **reply[1]}) for reply in replies if reply is not None]


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Read batches until the input ends, and write the replies to each batch; raises MalformedInput."""
    host = Host()
    header: Fields | None = None  # of the open batch
    messages: list[Message] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        message = decode(line, f"line {number}")
        if message.name == "clock":
            check_header(message, header)
            header, messages = message.fields, []
        elif header is None:
            raise MalformedInput(f"{message.location}: {message.name} outside a batch")
        elif message.name == "eof_batch":
            out.writelines(host.handle_batch(header["t"] / MS_PER_SECOND, messages))
            out.write(encode("ack", {"round": header["round"]}))
            out.flush()
            header = None
        else:
            messages.append(message)
    if header is not None:
        raise MalformedInput(f"expected eof_batch, but the input ends inside batch {header['round']}")


def check_header(message: Message, open_header: Fields | None) -> None:
    """Check the message that begins a batch.

    Raises MalformedInput inside another batch, or if the time `t` or the number `round` is missing.
    """
    if open_header is not None:
        raise MalformedInput(f"{message.location}: clock inside batch {open_header['round']}")
    if not isinstance(message.fields.get("t"), (int, float)) or "round" not in message.fields:
        raise MalformedInput(f"{message.location}: clock lacks t or round")
