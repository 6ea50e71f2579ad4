Feature: A member that was away catches up by what stands, not by what happened

  Scenario: 800 changes while a member is down, back over 2 Mbit/s
    Given a member that was away for 800 changes, amid 1000 routes, 1000 slices and 800 past versions
    Then it holds what the others hold after as many bytes as 2 Mbit/s carry in 0.25 of CatchUpS
    And after 80 changes it would have been within a tenth of that

  Scenario: How far that carries
    Given a member that was away for 8 changes, amid 20000 routes, 20000 slices and 800 past versions
    Then it holds what the others hold after as many bytes as 2 Mbit/s carry in 0.5 of CatchUpS
    Given a member that was away for 8 changes, amid 10 routes, 90000 slices and 800 past versions
    Then it holds what the others hold after as many bytes as 2 Mbit/s carry in 1 of CatchUpS
    Given a member that was away for 8 changes, amid 28000 routes, 90000 slices and 800 past versions
    Then that is more than 2 Mbit/s carry in CatchUpS
