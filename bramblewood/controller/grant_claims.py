"""Bounds the time of the last grant that another controller can have sent. No I/O.

A controller that sends grants claims so in its heartbeats, and its grants rely only on quorum contact whose
echoed heartbeats contained the claim. Each voter remembers when the last claim arrived, and reports to every
other controller how long ago it last knew of a claim by a third one.

Invariant: a grant that rests on a table older than version v is sent at most QUORUM_CONTACT_VALIDITY s after
the newest claim that the reports of a majority of the voters contain, if each of them was composed after its
sender had durably accepted version v. The contact of the granting controller and the reports share a voter.
That voter had not accepted v when it composed its part of the contact, so it had received the claim before it
composed its report.

Three conditions keep this true across restarts, releases and epochs:

- A voter that has restarted does not know older claims, so its own start counts as a claim.
- A heartbeat without the field is from an earlier release, and counts as a claim.
- Reports are used only once the epoch has been known for long enough that leases of older epochs have
  expired, because majorities of two epochs need not share a voter.

All times are in s of this controller's steady clock.
"""

import math

from ..common.timeouts import CLOCK_DRIFT_FACTOR, QUORUM_CONTACT_VALIDITY
from .consensus.voter_set import majority_size

UNKNOWN = math.inf  # no bound is known


class GrantClaims:
    """The claims of one controller and of its peers, and the reports that the peers sent."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.granting_since: float | None = None
        self.stopped_at = -math.inf  # when this controller last ceased to send grants
        self.claimed_at: dict[str, float] = {}  # by peer: arrival of its newest claim
        # by peer: the table version that it had accepted, and when it last knew of a claim by a third one
        self.reports: dict[str, tuple[int, float]] = {}
        self.epoch, self.epoch_since = -1, math.inf

    def start_granting(self, now: float) -> None:
        """Claim to send grants from now on."""
        self.granting_since = now

    def stop_granting(self, now: float) -> None:
        """Claim no longer to send grants. Planned grants may still be sent while their contact is valid."""
        self.granting_since, self.stopped_at = None, now

    def record_claim(self, now: float, peer: str, sends_grants: bool | None) -> bool:
        """Record whether a peer's heartbeat contains a claim; None is a heartbeat of an earlier release.

        Returns whether the claim is new, so that the peer waits for its echo.
        """
        if sends_grants is False:
            return False
        is_new = sends_grants is True and now - self.claimed_at.get(peer, -math.inf) > QUORUM_CONTACT_VALIDITY
        self.claimed_at[peer] = now
        return is_new

    def claim_age(self, now: float, started_at: float, excluded: str) -> float:
        """Return the time (s) since this controller knew of a claim, its own included.

        started_at: when this process started. excluded: the controller whose claims do not count.
        """
        own_claim = now if self.granting_since is not None else self.stopped_at
        claims = {**self.claimed_at, self.own_address: own_claim}
        return now - max([started_at, *(at for name, at in claims.items() if name != excluded)])

    def record_report(self, now: float, peer: str, table_version: int, age: float) -> None:
        """Record a peer's report.

        table_version: a version of the table that the peer had durably accepted when it composed the report,
        or a newer one. age: s since it knew of a claim by a third controller.
        """
        self.reports[peer] = (table_version, now - age / CLOCK_DRIFT_FACTOR)

    def record_epoch(self, now: float, epoch: int) -> None:
        """Discard the reports of an earlier epoch."""
        if epoch != self.epoch:
            self.epoch, self.epoch_since = epoch, now
            self.reports.clear()

    def others_granted_until(
        self, now: float, voters: dict[str, str], table_version: int, own_claim_age: float | None
    ) -> float:
        """Return the time after which no other controller has sent a grant that rests on an older table.

        Returns UNKNOWN if no majority of the voters has reported it.

        table_version: the version that must have been accepted. own_claim_age: `claim_age` of this
        controller, or None if it is no voter that has durably accepted this version.
        """
        claims = [
            claimed_at
            for peer, (version, claimed_at) in self.reports.items()
            if peer in voters and version >= table_version
        ]
        if own_claim_age is not None and self.own_address in voters:
            claims.append(now - own_claim_age)
        needed = majority_size(voters)
        if not voters or len(claims) < needed:
            return UNKNOWN
        return sorted(claims)[needed - 1] + QUORUM_CONTACT_VALIDITY
