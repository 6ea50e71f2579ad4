Feature: A crowded record is noticed, and does not keep others out

  Scenario: A crush that starts in one second
    Given desks d1 to d4 and workers that can do 10 requests a second
    When 3 reports tell of 12 a second for key 4001
    Then its range is watched, and nothing is crowded
    When 3 reports tell of 12 a second for key 4001
    Then 4001 is crowded
    When 4 reports tell of 3 a second for key 4001
    Then 4001 is crowded
    When 9 reports tell of 3 a second for key 4001
    Then nothing is crowded

  Scenario: A crush that wanders over neighbouring keys, and a hundred warm ones
    Given desks d1 to d4 and workers that can do 10 requests a second
    When 12 reports tell of 12 a second for one key of 4000 to 4007 after the other
    Then its range is watched, and nothing is crowded
    When 12 reports tell of 2 a second for each of 100 keys
    Then nothing is crowded, and at most 8 ranges are watched

  Scenario: A desk that lies
    Given desks d1 to d4 and workers that can do 10 requests a second
    When 12 reports of d1 alone tell of 500 a second for key 4001, and the others of 1
    Then nothing is crowded

  Scenario: Nothing is told without a crush
    Given desks d1 to d4 and workers that can do 10 requests a second
    When 12 reports tell of 2 a second for key 4001
    Then nothing is watched

  Scenario: A crowded record gets a slice and a worker of its own
    Given 18 workers with their first table
    When 14 reports tell of 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then key 8193 is a slice of its own, and its worker has no other slice that is asked for

  Scenario: Lookups take what a worker has left, effects pass
    Given a gate that 20 lookups a second come to, whose worker turned one away
    Then it lets 14 a second through
    And an effect passes at once, and the next lookup goes so much later
    And of two that wait the one of the higher rank goes first
    And one whose turn would come too late is told so at once
    When the worker has answered for 3 s with free slots
    Then it is open
