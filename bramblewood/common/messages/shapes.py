"""What the nested values of messages between controllers and proxies must look like. Pure."""

from typing import Any

from ..slice_table import is_slice_row
from .fields import is_integer, is_list, is_map, is_number

WORKER_ROW_LENGTHS = range(4, 7)  # attempts, unanswered, mean time, load; then those that failed
LOAD_PLACE = 3  # in such a row; null where the worker stated none
LOAD_FIELDS = 3  # running, waiting, slots
WORK_IN_FLIGHT_FIELDS = 3


def is_fractions(value: Any) -> bool:
    """Whether this is a map of numbers."""
    return is_map(value) and all(map(is_number, value.values()))


def is_key(value: Any) -> bool:
    """Whether this is a key, or a range of keys, as the key of a map."""
    return str(value).isdecimal()


def is_hot_key_status(value: Any) -> bool:
    """Whether these are the ranges of keys to watch, and the hot keys."""
    return (
        is_list(value)
        and len(value) == 2
        and all(is_list(one) and all(map(is_integer, one)) for one in value)
    )


def is_counts(value: Any) -> bool:
    """Whether this is a map of counts by key or by range of keys."""
    return is_fractions(value) and all(map(is_key, value))


def is_worker_row(value: Any) -> bool:
    """Whether this is what a proxy saw of one worker."""
    if not is_list(value) or len(value) not in WORKER_ROW_LENGTHS:
        return False
    load = value[LOAD_PLACE]
    if load is not None and not (is_list(load) and len(load) == LOAD_FIELDS and all(map(is_integer, load))):
        return False
    return all(is_number(one) for place, one in enumerate(value) if place != LOAD_PLACE)


def is_work_in_flight(value: Any) -> bool:
    """Whether this is what a proxy has in flight at one worker."""
    return is_list(value) and len(value) == WORK_IN_FLIGHT_FIELDS and all(map(is_number, value))


def is_slices(value: Any) -> bool:
    """Whether this is a map of slices by their first keys."""
    return is_map(value) and all(map(is_key, value)) and all(map(is_slice_row, value.values()))
