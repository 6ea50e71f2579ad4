Feature: No lookup gives an older record than an effect that was answered

  Scenario: Leases, invalidations, partitions, freezes and lost calls in any order
    Then in 60 plays of 60 s no replica is older than what was answered

  Scenario: Each guard is needed
    Then without the wait before a new reader's first lease a stale replica is read within 60 plays
    And without the wait until an unresponsive reader's lease has expired a stale replica is read within 60 plays
    And without a confirmation of the table a stale replica is read within 60 plays
    And with a replica that was fetched across a release a stale replica is read within 60 plays

  Scenario: Off unless the operator says so
    Given 18 workers with their first table
    When 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then no record has readers
    When the operator allows read replicas
    And 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then key 8193 has readers beside its worker
    When 14 reports state 1 requests a second for key 8193, 0 on each other slice of its worker, which is full
    Then no record has readers
