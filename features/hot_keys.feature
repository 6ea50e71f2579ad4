Feature: A hot key is detected, and does not keep other keys waiting

  Scenario: A key that becomes hot within a second
    Given proxies d1 to d4 and workers that can do 10 requests a second
    When 3 reports state 12 requests a second for key 4001
    Then its range is watched, and no key is hot
    When 3 reports state 12 requests a second for key 4001
    Then key 4001 is hot
    When 4 reports state 3 requests a second for key 4001
    Then key 4001 is hot
    When 9 reports state 3 requests a second for key 4001
    Then no key is hot

  Scenario: Load that wanders over neighbouring keys, and a hundred warm ones
    Given proxies d1 to d4 and workers that can do 10 requests a second
    When 12 reports state 12 requests a second for one key of 4000 to 4007 after the other
    Then its range is watched, and no key is hot
    When 12 reports state 2 requests a second for each of 100 keys
    Then no key is hot, and at most 8 ranges are watched

  Scenario: A proxy that reports too much
    Given proxies d1 to d4 and workers that can do 10 requests a second
    When 12 reports of d1 alone state 500 requests a second for key 4001, and those of the others 1
    Then no key is hot

  Scenario: No range is watched while no key is hot
    Given proxies d1 to d4 and workers that can do 10 requests a second
    When 12 reports state 2 requests a second for key 4001
    Then no range is watched

  Scenario: A hot key gets a slice and a worker of its own
    Given 18 workers with their first table
    When 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then key 8193 is a slice of its own, and its worker has no other slice that gets requests

  Scenario: Lookups take what a worker has left, effects pass
    Given a gate that 20 lookups a second come to, whose worker turned one away
    Then it lets 14 a second through
    And an effect passes at once, and the next lookup goes so much later
    And of two that wait the one of the higher rank goes first
    And one whose turn would come too late is told so at once
    When the worker has answered for 3 s with free slots
    Then it is open
