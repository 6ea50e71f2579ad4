Feature: The first voters keep a majority after every loss within the tolerance

  Scenario: The first voters are selected among controllers in zones and regions, some of which do not count
    Then in 2000 random fleets the first voters keep a majority if any selection does

  Scenario: The selection waits for a seed that is not reachable yet
    Then the selection waits for an unreachable seed until the wait is over
