"""Hosts many managers in one process: a batch in, each manager's orders out. Managers share nothing."""

from typing import BinaryIO

from .. import events
from ..policy.manager import Manager
from ..startup_settings import MS, parse_settings
from .wire import EVENTS, ORDERS, UNSAID, Malformed, decode, encode, entry_of

COMPLETE, CACHED, FAILED = 1, 2, 3  # forms of a view


class Host:
    """The managers of this process, and the numbered lists that views name."""

    def __init__(self) -> None:
        self.managers: dict[int, Manager] = {}
        self.lists: dict[int, tuple] = {}

    def view(self, fields: dict):
        if fields["form"] == FAILED:
            return events.WorkerListFailed()
        return events.WorkersListed(
            self.lists[fields["list"]], fields["form"] in (COMPLETE, CACHED), fields["form"] == CACHED
        )

    def batch(self, now: float, messages: list[tuple[str, dict, str]]) -> list[bytes]:
        """Answer one batch; events reach each manager in the order in which they came."""
        waiting: dict[int, list] = {}
        for name, fields, where in messages:
            try:
                if name == "ledger":
                    self.lists[fields["list"]] = tuple(entry_of(item) for item in fields["items"])
                    continue
                who = fields["who"]
                if name == "start":
                    self.managers[who] = Manager(fields["seed"], parse_settings(fields["options"]))
                    waiting[who] = []
                elif name == "crash_now":
                    self.managers.pop(who, None)
                    waiting.pop(who, None)
                elif who in self.managers:
                    event = self.view(fields) if name == "view" else EVENTS[name](fields)
                    waiting.setdefault(who, []).append(event)
            except (KeyError, TypeError, ValueError, AttributeError) as problem:
                what = f"lacks or does not know {problem}" if isinstance(problem, KeyError) else str(problem)
                raise Malformed(f"{where}: {name}: {what}") from None
        replies = []
        for who, batch in waiting.items():
            try:
                orders = [
                    ORDERS[type(order)](order)
                    for order in self.managers[who].handle(now, batch)
                    if type(order) not in UNSAID
                ]
            except Exception as problem:  # whatever the module raises is reported, never swallowed
                orders = [("bug", {"what": f"{type(problem).__name__}: {problem}"})]
            replies += [encode(name, {"who": who, **fields}) for name, fields in orders]
        return replies


def serve(lines: BinaryIO, out: BinaryIO) -> None:
    """Read batches until the input ends; write one reply for each."""
    host, opening, messages = Host(), None, []
    for number, line in enumerate(lines, 1):
        where = f"line {number}"
        if not line.strip():
            continue
        name, fields = decode(line, where)
        if name == "clock":
            if opening is not None:
                raise Malformed(f"{where}: clock inside batch {opening['round']}")
            if not isinstance(fields.get("t"), (int, float)) or "round" not in fields:
                raise Malformed(f"{where}: clock lacks t or round")
            opening, messages = fields, []
        elif opening is None:
            raise Malformed(f"{where}: {name} outside a batch")
        elif name == "eof_batch":
            out.writelines(host.batch(opening["t"] / MS, messages))
            out.write(encode("ack", {"round": opening["round"]}))
            out.flush()
            opening = None
        else:
            messages.append((name, fields, where))
    if opening is not None:
        raise Malformed(f"input ends inside batch {opening['round']}")
