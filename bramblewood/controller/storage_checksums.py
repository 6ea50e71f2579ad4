"""Checksums of the rows of a controller's database. This module does no input or output.

The checksum of a row is the CRC-32C of its table, its key and its text, so a row under the wrong key does not
match its checksum. For a set of rows, the database stores the number of rows and the sum of their checksums,
so a missing, duplicated or outdated row is detected too.

The parts of a register are the rows that encode its value. The sum over them depends only on the value and
not on the sequence of writes that produced it. Two controllers that hold the same value therefore hold the
same sum. `content_comparison.py` compares these sums.
"""

from typing import NamedTuple

import google_crc32c

from .storage_schema import FACTS, PARTS, REGISTERS, TOTALS


def text_checksum(text: str) -> int:
    """Returns the CRC-32C of a text.

    The functions below join the columns of a row to one text, with NUL between them. JSON text never
    contains this character.
    """
    return google_crc32c.value(text.encode("utf-8", "surrogatepass"))


class RowSetSum(NamedTuple):
    """The number of rows of a set, and the sum of their checksums."""

    row_count: int = 0
    checksum_sum: int = 0

    def with_row(self, checksum: int, replaced_checksum: int | None = None) -> "RowSetSum":
        """Returns the sum after one row is written.

        replaced_checksum: the checksum of the row that the write replaces, None where the write adds a row.
        """
        if replaced_checksum is None:
            return RowSetSum(self.row_count + 1, self.checksum_sum + checksum)
        return RowSetSum(self.row_count, self.checksum_sum + checksum - replaced_checksum)

    def without_rows(self, row_count: int, checksum_sum: int) -> "RowSetSum":
        """Returns the sum after `row_count` rows, whose checksums add up to `checksum_sum`, are removed."""
        return RowSetSum(self.row_count - row_count, self.checksum_sum - checksum_sum)


class StoredChecksums:
    """The checksums of all rows in a database.

    fact_checksums: the checksum of each fact, by name. part_sums: the sum over the parts of each register, by
    register.
    """

    def __init__(self, fact_checksums: dict[str, int], part_sums: dict[str, RowSetSum]) -> None:
        self.fact_checksums, self.part_sums = fact_checksums, part_sums

    def copy(self) -> "StoredChecksums":
        """Returns a copy that a transaction can change. It is discarded if the transaction is rolled back."""
        return StoredChecksums(dict(self.fact_checksums), dict(self.part_sums))

    def totals(self) -> RowSetSum:
        """Returns the sum over all facts and over the names of all registers.

        Most commits change neither the facts nor the set of registers. Such a commit needs no new totals.
        """
        checksums = [*self.fact_checksums.values(), *(text_checksum(name) for name in self.part_sums)]
        return RowSetSum(len(checksums), sum(checksums))


def fact_checksum(name: str, value: str) -> int:
    """Returns the checksum of a row of `facts`; the value is JSON text."""
    return text_checksum(f"{FACTS}\0{name}\0{value}")


def register_checksum(name: str, promised: str, accepted: str, part_sum: RowSetSum) -> int:
    """Returns the checksum of a row of `registers`; the two proposal numbers are JSON text."""
    row_count, checksum_sum = part_sum
    return text_checksum(f"{REGISTERS}\0{name}\0{promised}\0{accepted}\0{row_count}\0{checksum_sum}")


def part_checksum(register: str, path: str, value: str) -> int:
    """Returns the checksum of a row of `parts`; path and value are JSON text."""
    return text_checksum(f"{PARTS}\0{register}\0{path}\0{value}")


def totals_checksum(totals: RowSetSum) -> int:
    """Returns the checksum of the only row of `totals`."""
    return text_checksum(f"{TOTALS}\0{totals.row_count}\0{totals.checksum_sum}")
