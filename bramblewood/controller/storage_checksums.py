"""Checksums of what a controller stores, so that damaged, moved, missing and doubled rows are noticed. Pure.

A row's checksum is the CRC-32C of its table, its key and its text, so a row that lies under another key does
not fit. A set of rows has their number and the sum of their checksums, so a row that is missing, or is there
twice, or came back from an earlier time, does not fit either.

The sum over a register's parts does not depend on how the value came about: two controllers that hold the
same value have the same sum (`consensus/content_digests.py` compares them).
"""

from typing import NamedTuple

import google_crc32c

from .storage_schema import FACTS, PARTS, REGISTERS, TOTALS


def text_checksum(text: str) -> int:
    """The CRC-32C of a text. The texts below separate a row's columns by NUL, which no JSON text has."""
    return google_crc32c.value(text.encode("utf-8", "surrogatepass"))


class ContentSum(NamedTuple):
    """A set of rows: how many, and the sum of their checksums."""

    row_count: int = 0
    total: int = 0

    def with_row(self, checksum: int, replaced: int | None = None) -> "ContentSum":
        """With one row more, or with another in place of one; replaced: the checksum of that one."""
        if replaced is None:
            return ContentSum(self.row_count + 1, self.total + checksum)
        return ContentSum(self.row_count, self.total + checksum - replaced)

    def without(self, row_count: int, total: int) -> "ContentSum":
        """Without so many rows, whose checksums have this sum."""
        return ContentSum(self.row_count - row_count, self.total - total)


class StoredChecksums:
    """The checksums of all that a database holds: of each fact, and the sum of each register's parts."""

    def __init__(self, facts: dict[str, int], parts: dict[str, ContentSum]) -> None:
        self.facts, self.parts = facts, parts

    def copy(self) -> "StoredChecksums":
        """A copy for a transaction that may be rolled back."""
        return StoredChecksums(dict(self.facts), dict(self.parts))

    def totals(self) -> ContentSum:
        """Of all facts, and of the registers' names: most commits leave it as it is, which costs nothing."""
        checksums = [*self.facts.values(), *(text_checksum(name) for name in self.parts)]
        return ContentSum(len(checksums), sum(checksums))


def fact_checksum(name: str, value: str) -> int:
    """The checksum of a fact's row."""
    return text_checksum(f"{FACTS}\0{name}\0{value}")


def register_checksum(name: str, promised: str, accepted: str, parts: ContentSum) -> int:
    """The checksum of a register's row."""
    row_count, total = parts
    return text_checksum(f"{REGISTERS}\0{name}\0{promised}\0{accepted}\0{row_count}\0{total}")


def part_checksum(register: str, path: str, value: str) -> int:
    """The checksum of the row of a part."""
    return text_checksum(f"{PARTS}\0{register}\0{path}\0{value}")


def totals_checksum(totals: ContentSum) -> int:
    """The checksum of the row of totals."""
    return text_checksum(f"{TOTALS}\0{totals.row_count}\0{totals.total}")
