"""Guards against keys that are freed while a grant of another controller may still be in force."""

import math

import pytest

from bramblewood.common.timeouts import CLOCK_DRIFT_FACTOR, MAX_CALL_TRANSIT, QUORUM_CONTACT_VALIDITY
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.grant_arrivals import CONNECTION_REFUSED, NO_ANSWER
from bramblewood.controller.grant_claims import UNKNOWN, GrantClaims
from bramblewood.controller.key_leases import GRANT, KeyLeases, LeaseCall
from tests.simulation.quorum_contact import start_fleet

VOTERS = {"a": "a0", "b": "b0", "c": "c0"}
CALL = LeaseCall(GRANT, "s", "w", "w:1", (0,), 0, 65535, 3, 6.0, "")
STARTED_AT = 50.0


def claims_with_reports(*reports: tuple[str, int, float]) -> GrantClaims:
    """The claims of controller a at 100 s, with reports of (peer, table version, age)."""
    claims = GrantClaims("a")
    for peer, version, age in reports:
        claims.record_report(100.0, peer, version, age)
    return claims


def test_age_is_that_of_the_newest_claim_by_any_controller_but_the_excluded_one():
    claims = GrantClaims("a")
    claims.record_claim(60.0, "b", True)
    claims.record_claim(70.0, "c", True)
    claims.record_claim(80.0, "c", False)
    assert claims.claim_age(100.0, STARTED_AT, excluded="c") == 40.0
    assert claims.claim_age(100.0, STARTED_AT, excluded="b") == 30.0


def test_start_of_the_process_counts_as_a_claim():
    assert GrantClaims("a").claim_age(100.0, 98.0, excluded="b") == 2.0


def test_own_grants_count_as_claims_until_they_stop():
    claims = GrantClaims("a")
    claims.start_granting(60.0)
    assert claims.claim_age(100.0, STARTED_AT, excluded="b") == 0.0
    claims.stop_granting(100.0)
    assert claims.claim_age(103.0, STARTED_AT, excluded="b") == 3.0
    assert claims.claim_age(103.0, STARTED_AT, excluded="a") == 53.0


def test_heartbeat_of_an_earlier_release_counts_as_a_claim():
    claims = GrantClaims("a")
    claims.record_claim(99.0, "b", None)
    assert claims.claim_age(100.0, STARTED_AT, excluded="c") == 1.0


def test_only_the_first_claim_is_new():
    claims = GrantClaims("a")
    assert claims.record_claim(60.0, "b", True)
    assert not claims.record_claim(60.25, "b", True)
    assert not claims.record_claim(60.5, "b", None)


@pytest.mark.parametrize(
    "reports, own_age, expected",
    [
        ((("b", 7, 10.2), ("c", 7, 20.4)), 30.0, 80.0),
        ((("b", 7, 10.2),), 30.0, 90.0),
        ((("b", 6, 10.2),), 30.0, UNKNOWN),  # b may have accepted only an older table
        ((("b", 7, 10.2),), None, UNKNOWN),  # one report of three voters
        ((("b", 7, 10.2), ("d", 7, 10.2)), None, UNKNOWN),  # d is no voter
        ((("b", 7, 10.2), ("c", 7, 20.4)), None, 90.0),
    ],
)
def test_majority_of_reports_bounds_the_last_grant_of_other_controllers(reports, own_age, expected):
    bound = claims_with_reports(*reports).others_granted_until(100.0, VOTERS, 7, own_age)
    assert bound == pytest.approx(expected + QUORUM_CONTACT_VALIDITY) or bound == expected == UNKNOWN


def test_reports_of_an_earlier_epoch_are_discarded():
    claims = claims_with_reports(("b", 7, 10.0), ("c", 7, 10.0))
    claims.record_epoch(100.0, 1)
    assert claims.others_granted_until(100.0, VOTERS, 7, None) == UNKNOWN
    assert claims.epoch_since == 100.0


@pytest.mark.parametrize(
    "status, expected",
    [(200, 101.0), (409, 101.0), (NO_ANSWER, 101.0 + MAX_CALL_TRANSIT), (CONNECTION_REFUSED, -math.inf)],
)
def test_lease_ends_after_the_last_grant_that_can_have_arrived(status, expected):
    key_leases = KeyLeases(10.0)
    lease = key_leases.lease_duration * CLOCK_DRIFT_FACTOR
    key_leases.arrivals.grant_planned("w", 100.5)
    assert key_leases.lease_end("w", -math.inf) == 100.5 + MAX_CALL_TRANSIT + lease
    key_leases.call_finished(101.0, CALL, 100.0, status, "")
    assert key_leases.lease_end("w", -math.inf) == expected + lease
    assert key_leases.lease_end("w", 200.0) == 200.0 + MAX_CALL_TRANSIT + lease


def test_grants_rest_only_on_echoes_of_heartbeats_with_the_claim():
    fleet = start_fleet(0, 3)
    contact = fleet.machines["a"].server.quorum_contact
    assert contact.lease_contact_until(fleet.now) > fleet.now
    contact.grant_claims.start_granting(fleet.now)  # as if it had become coordinator now
    assert contact.quorum_contact_until(fleet.now) > fleet.now
    assert contact.lease_contact_until(fleet.now) == 0.0
    contact.grant_claims.stop_granting(fleet.now)
    assert contact.lease_contact_until(fleet.now) == 0.0


def test_report_counts_only_if_the_newest_table_is_on_the_disk_of_an_active_voter():
    fleet = start_fleet(0, 3).run(5.0)
    handlers = fleet.machines["a"].server.peer_handlers
    heartbeat = fleet.machines["b"].server.controller_peers._heartbeat(fleet.now)._replace(claim_age=9.0)
    for change in ({"durable": {}}, {"is_voting": False}, {"epoch": 0}, {"disk": "b9"}, {"claim_age": None}):
        handlers.grant_claims.reports.clear()
        handlers._record_claim_report(fleet.now, "b", heartbeat._replace(**change))
        assert not handlers.grant_claims.reports, change
    handlers._record_claim_report(fleet.now, "b", heartbeat)
    version = handlers.quorum_io.consensus.version(TABLE)
    assert version > 0 and handlers.grant_claims.reports["b"][0] == version


def test_grants_of_an_earlier_process_are_not_known():
    fleet = start_fleet(0, 3)
    loop = fleet.machines["a"].server.coordinator_loop
    fleet.run(loop.key_leases.lease_expiry_delay + 1.0)
    version = loop.quorum_io.consensus.version(TABLE)
    assert loop._unknown_grants_until(version) < fleet.now - 5.0
    loop.runtime.started_at = fleet.now - 1.0
    assert loop._unknown_grants_until(version) >= fleet.now - 1.0
