Feature: Keys that crowd are spread

  Scenario: A slice hotter than a worker is split though its worker can be relieved of cooler ones
    Given 18 workers with their first table
    When 5 reports tell of a worker that is full: 64 requests a second on 64 keys in a row, 2 on each other slice of it
    Then that slice was split by the third report

  Scenario: Requests without keys stay in their zone while its workers are no busier than the others
    Given workers in zones a and b, busy 0.4 and 0.4
    Then after 10 cycles all of a's requests stay
    When they are busy 0.9 and 0.5
    Then after 3 cycles 0.4 of a's requests stay, and all of b's

  Scenario: What stays goes to the zone's own workers only, as far as they are open
    Given a desk of zone a, of whose requests 0.5 are to stay, with workers in a and b
    Then of 400 requests about three quarters go to workers of a
    When the workers of a drain
    Then of 400 requests none goes to workers of a
