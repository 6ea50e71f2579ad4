Feature: A hot key is detected and isolated, so that requests for other keys do not wait

  Scenario: A key is hot after a sustained high rate, and is no longer hot after a sustained low rate
    Given proxies d1 to d4, and workers that each serve 10 requests per second
    When 3 reports contain 12 requests per second for key 4001
    Then the range of key 4001 is watched, and no key is hot
    When 3 reports contain 12 requests per second for key 4001
    Then key 4001 is hot
    When 4 reports contain 3 requests per second for key 4001
    Then key 4001 is hot
    When 9 reports contain 3 requests per second for key 4001
    Then no key is hot

  Scenario: No key is hot if the load moves across adjacent keys, or is moderate on many keys
    Given proxies d1 to d4, and workers that each serve 10 requests per second
    When 12 reports contain 12 requests per second for one of the keys 4000 to 4007 in turn
    Then the range of key 4001 is watched, and no key is hot
    When 12 reports contain 2 requests per second for each of 100 keys
    Then no key is hot, and at most 8 ranges are watched

  Scenario: No key is hot if only one proxy reports a high rate
    Given proxies d1 to d4, and workers that each serve 10 requests per second
    When 12 reports contain 500 requests per second for key 4001 from d1, and 1 from the other proxies together
    Then no key is hot

  Scenario: No range is watched while all rates are low
    Given proxies d1 to d4, and workers that each serve 10 requests per second
    When 12 reports contain 2 requests per second for key 4001
    Then no range is watched

  Scenario: A hot key gets a slice and a worker of its own
    Given 18 workers with their first table
    When 14 reports state 30 requests a second for key 8193, 2 on each other slice of its worker, which is full
    Then key 8193 has a slice of its own, and its worker has no other slice that receives requests

  Scenario: A rate limit delays idempotent requests only, and is lifted once the worker has free slots
    Given a rate limit for a worker that receives 20 requests per second and has rejected one
    Then 14 idempotent requests per second are sent
    And a non-idempotent request is sent at once, and delays the next idempotent request
    And of two waiting requests, the one with the higher priority is sent first
    And a request whose turn would come too late is refused at once
    When the worker has answered for 3 s with free slots
    Then the rate limit is lifted
