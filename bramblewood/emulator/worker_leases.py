"""The key leases of one stand-in worker. Times in s of the worker's clock."""

from typing import NamedTuple


class Lease(NamedTuple):
    """A range of keys, first to last, leased until a time."""

    first: int
    last: int
    fencing_token: int
    until: float


class KeyRangeToken(NamedTuple):
    """A fencing token that came for a range of keys."""

    first: int
    last: int
    fencing_token: int


class WorkerLeases:
    """Leases that hold, and every fencing token that came: an older one is refused."""

    def __init__(self) -> None:
        self.leases: list[Lease] = []
        self.tokens: list[KeyRangeToken] = []

    def cover(self, key: int, now: float) -> bool:
        """Whether a lease on this key holds."""
        return any(lease.first <= key <= lease.last and lease.until > now for lease in self.leases)

    def newest_token(self, first: int, last: int) -> int:
        """The highest fencing token that came for any key of a range; 0 for none."""
        overlapping = (token for token in self.tokens if token.first <= last and first <= token.last)
        return max((token.fencing_token for token in overlapping), default=0)

    def grant(self, first: int, last: int, fencing_token: int, until: float) -> None:
        """Lease a range, in place of what was leased there."""
        self._remove(first, last)
        self.leases.append(Lease(first, last, fencing_token, until))
        self.tokens.append(KeyRangeToken(first, last, fencing_token))

    def release(self, first: int, last: int, fencing_token: int) -> None:
        """Give up a range."""
        self._remove(first, last)
        self.tokens.append(KeyRangeToken(first, last, fencing_token))

    def _remove(self, first: int, last: int) -> None:
        """Cut a range out of the leases."""
        kept = []
        for lease in self.leases:
            if lease.last < first or last < lease.first:
                kept.append(lease)
                continue
            if lease.first < first:
                kept.append(lease._replace(last=first - 1))
            if last < lease.last:
                kept.append(lease._replace(first=last + 1))
        self.leases = kept
