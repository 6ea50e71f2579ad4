Feature: Requests without keys stay in their zone while the zone's workers have capacity

  Scenario: The fraction of requests that stay in a zone grows while its workers are no busier than the others, and shrinks otherwise
    Given two workers in zone a and one in zone b, with utilization 0.4 in a and 0.4 in b
    Then after 10 cycles, all requests of zone a stay in it
    When the utilization is 0.9 in a and 0.5 in b
    Then after 3 cycles, the fraction of requests that stay is 0.4 in a and 1 in b

  Scenario: Requests that stay in a zone go only to the zone's ready workers
    Given a proxy in zone a that keeps 0.5 of its requests local, and two workers in each of the zones a and b
    Then of 400 requests, about three quarters go to workers in zone a
    When the workers in zone a drain
    Then of 400 requests, none goes to workers in zone a
