"""Checks of the nested values in messages between controllers and proxies. The module does no I/O."""

from typing import Any

from ..slice_table import is_slice_row
from .fields import is_integer, is_list, is_map, is_number

WORKER_ROW_LENGTHS = range(4, 7)  # the row of a worker in `LoadReport.workers`
LOAD_INDEX = 3  # index of the load in such a row; the load is null if the worker stated none
LOAD_FIELDS = 3  # running, waiting, slots
# idempotent requests; non-idempotent requests plus keys that affinity binds to the worker; age in s
WORK_IN_FLIGHT_FIELDS = 3


def is_number_map(value: Any) -> bool:
    """Return whether a value is a map whose values are numbers."""
    return is_map(value) and all(map(is_number, value.values()))


def is_key_number(value: Any) -> bool:
    """Return whether a map's key is the decimal number of a key or of a range of keys."""
    return str(value).isdecimal()


def is_hot_key_status(value: Any) -> bool:
    """Return whether a value is a list of two lists: the ranges of keys to watch, and the hot keys."""
    return (
        is_list(value)
        and len(value) == 2
        and all(is_list(numbers) and all(map(is_integer, numbers)) for numbers in value)
    )


def is_count_map(value: Any) -> bool:
    """Return whether a value is a map of counts by key or by range of keys."""
    return is_number_map(value) and all(map(is_key_number, value))


def is_worker_row(value: Any) -> bool:
    """Return whether a value is a row of `LoadReport.workers`: a proxy's observations of one worker."""
    if not is_list(value) or len(value) not in WORKER_ROW_LENGTHS:
        return False
    load = value[LOAD_INDEX]
    if load is not None and not (is_list(load) and len(load) == LOAD_FIELDS and all(map(is_integer, load))):
        return False
    return all(is_number(field) for index, field in enumerate(value) if index != LOAD_INDEX)


def is_work_in_flight(value: Any) -> bool:
    """Return whether a value is one of `LoadReport.in_flight`: a proxy's work at one worker."""
    return is_list(value) and len(value) == WORK_IN_FLIGHT_FIELDS and all(map(is_number, value))


def is_slice_map(value: Any) -> bool:
    """Return whether a value is a map of slice rows by their first keys."""
    return is_map(value) and all(map(is_key_number, value)) and all(map(is_slice_row, value.values()))
