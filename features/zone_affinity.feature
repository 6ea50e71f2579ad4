Feature: Requests without keys stay in their zone as far as its workers can serve them

  Scenario: They stay while the zone's workers are no busier than the others
    Given workers in zones a and b, with utilization 0.4 and 0.4
    Then after 10 cycles all of a's requests stay
    When their utilization is 0.9 and 0.5
    Then after 3 cycles 0.4 of a's requests stay, and all of b's

  Scenario: What stays goes to the zone's own workers only, as far as they are open
    Given a proxy of zone a whose zone keeps 0.5 of its requests, with workers in a and b
    Then of 400 requests about three quarters go to workers of a
    When the workers of a drain
    Then of 400 requests none goes to workers of a
