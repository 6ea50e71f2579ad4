Feature: The first voters keep a majority after any loss within the tolerance

  Scenario: Controllers in zones and regions, some of which don't count
    Then in 2000 random fleets the founding voters keep a majority wherever some set of voters would

  Scenario: A seed that has not been heard yet
    Then founding waits for a seed that has not been heard yet, but not for ever
