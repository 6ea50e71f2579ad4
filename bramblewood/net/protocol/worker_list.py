"""Discovery's lists: paths, and objects into events."""

import json

from ... import events
from .fields import MS_PER_SECOND, STATES, InvalidMessage, ProtocolError, number, text

LIST_PATH = "/catalog/members"


def watch_path(version: int) -> str:
    """The path at which changes after this version are streamed."""
    return f"{LIST_PATH}?stream=1&index={version}"


def parse_entry(item: object) -> tuple[events.ListedWorker, str]:
    """One worker, and the address at which it answers probes."""
    if not isinstance(item, dict) or text(item, "state") not in STATES:
        raise InvalidMessage(f"entry {item!r:.60}")
    started, cell = number(item, "started_ms", 0), item.get("cell", 0)
    entry = events.ListedWorker(
        text(item, "id"),
        STATES[item["state"]],
        number(item, "weight", 1.0),
        text(item, "zone", ""),
        cell if isinstance(cell, int) else 0,
        text(item, "kind", ""),
        started / MS_PER_SECOND if started else None,
    )
    return entry, text(item, "addr", "")


def parse_worker_list(
    data: bytes | dict, cached: bool = False
) -> tuple[int, events.WorkersListed, dict, list[str]]:
    """A list: its version, the event, addresses by worker, and what of it had to be skipped."""
    try:
        found = data if isinstance(data, dict) else json.loads(data)
    except (ValueError, RecursionError):
        raise ProtocolError(f"a list that is no JSON: {data[:40]!r}") from None
    items = found.get("servers") if isinstance(found, dict) else None
    version = found.get("version") if isinstance(found, dict) else None
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(items, list):
        raise ProtocolError("a list without version or servers")
    entries, addresses, problems = [], {}, []
    for item in items:
        try:
            entry, address = parse_entry(item)
        except InvalidMessage as problem:
            problems.append(str(problem))
            continue
        entries.append(entry)
        addresses[entry.worker] = address
    complete = bool(found.get("full")) or cached
    event = events.WorkersListed(tuple(entries), complete, cached, version)
    return version, event, addresses, problems
