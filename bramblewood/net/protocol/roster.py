"""Discovery's lists: paths, and objects into events."""

import json

from ... import events
from .words import MS, STATES, Skipped, Unreadable, number, text

LIST = "/catalog/members"


def watch_path(version: int) -> str:
    return f"{LIST}?stream=1&index={version}"


def entry_of(item: object) -> tuple[events.ListedWorker, str]:
    """One worker, and the address at which it answers probes."""
    if not isinstance(item, dict) or text(item, "state") not in STATES:
        raise Skipped(f"entry {item!r:.60}")
    started, cell = number(item, "started_ms", 0), item.get("cell", 0)
    entry = events.ListedWorker(
        text(item, "id"),
        STATES[item["state"]],
        number(item, "weight", 1.0),
        text(item, "zone", ""),
        cell if isinstance(cell, int) else 0,
        text(item, "kind", ""),
        started / MS if started else None,
    )
    return entry, text(item, "addr", "")


def read(data: bytes | dict, cached: bool = False) -> tuple[int, events.WorkersListed, dict, list[str]]:
    """A list: its version, the event, addresses by worker, and what of it had to be skipped."""
    try:
        found = data if isinstance(data, dict) else json.loads(data)
    except (ValueError, RecursionError):
        raise Unreadable(f"a list that is no JSON: {data[:40]!r}") from None
    items = found.get("servers") if isinstance(found, dict) else None
    version = found.get("version") if isinstance(found, dict) else None
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(items, list):
        raise Unreadable("a list without version or servers")
    entries, addresses, problems = [], {}, []
    for item in items:
        try:
            entry, address = entry_of(item)
        except Skipped as problem:
            problems.append(str(problem))
            continue
        entries.append(entry)
        addresses[entry.worker] = address
    complete = bool(found.get("full")) or cached
    event = events.WorkersListed(tuple(entries), complete, cached, version)
    return version, event, addresses, problems
