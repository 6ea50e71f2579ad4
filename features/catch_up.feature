Feature: The bytes that a voter receives to catch up depend on the current values, not on the missed changes

  Scenario: A voter that missed 800 changes catches up over a link of 2 Mbit/s
    Given a voter that missed 800 changes with 1000 routes, 1000 slices and 800 past revisions
    Then it has caught up with fewer bytes than 2 Mbit/s transfer in 0.25 of CatchUpS
    And a voter that missed 80 changes receives a number of bytes that differs by at most a tenth

  Scenario: The size of the values limits whether a voter catches up within CatchUpS
    Given a voter that missed 8 changes with 20000 routes, 20000 slices and 800 past revisions
    Then it has caught up with fewer bytes than 2 Mbit/s transfer in 0.5 of CatchUpS
    Given a voter that missed 8 changes with 10 routes, 90000 slices and 800 past revisions
    Then it has caught up with fewer bytes than 2 Mbit/s transfer in 1 of CatchUpS
    Given a voter that missed 8 changes with 28000 routes, 90000 slices and 800 past revisions
    Then it receives more bytes than 2 Mbit/s transfer in CatchUpS
