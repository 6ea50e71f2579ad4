Feature: No answer to an idempotent request is older than the effect of an answered request

  Scenario: Leases and invalidations with partitions, freezes and lost calls
    Then no readable replica is older than an answered request in 60 simulations of 60 s

  Scenario: Each guard is needed
    Then without the delay before a reader's first lease a stale replica is read within 60 simulations
    And without the wait until an unresponsive reader's lease has expired a stale replica is read within 60 simulations
    And without the confirmation of the table a stale replica is read within 60 simulations
    And with a replica that is kept after a drop during its fetch a stale replica is read within 60 simulations

  Scenario: Hot keys have readers only while the configuration allows read replicas
    Given 18 workers with their first table
    When 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then no key has readers
    When the configuration allows read replicas
    And 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then key 8193 has readers in addition to its owner
    When 14 reports state 1 requests a second for key 8193, 0 on each other slice of its worker, which is full
    Then no key has readers
