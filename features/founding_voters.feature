Feature: The first voters keep a majority after every loss within the tolerance

  Scenario: The first voters keep a majority in random fleets if any selection does
    Then in 2000 random fleets the first voters keep a majority if any selection does

  Scenario: The selection waits for an unreachable seed until the wait is over
    Then the selection waits for an unreachable seed until the wait is over
