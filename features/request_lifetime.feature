Feature: A request ends with its time, its client or its worker, and what is handed on says how long is left
  Rules BUDGET, CONFIG, GONE and the deregistration without draining of the users' pages.

  Scenario: A retry carries what is left of the client's deadline
    Given a proxy before
      | worker | script     |
      | w1     | slow error |
      | w2     |            |
    When a client that waits 1.5 s sends a lookup
    Then its answer is 200
    And the worker that was asked first was told of at most 1.5 s, the other of at most 0.95 s

  Scenario: A request that outlasts its route's time-out gets its final answer then
    Given a proxy before
      | worker | script |
      | w1     | silent |
    When a client that waits 30 s sends an effect
    Then its answer is 504 after 2 s, at most 0.5 s later

  Scenario: A worker's request ends soon after its client has gone
    Given a proxy before
      | worker | script |
      | w1     | held   |
    When a client goes away while the worker has its lookup
    Then the worker's connection is closed within 0.5 s

  Scenario: A worker that deregisters without draining finishes what it has and gets nothing new
    Given a proxy before
      | worker | script |
      | w1     | held   |
      | w2     |        |
    When the worker that has a lookup deregisters
    Then that lookup is answered 200 by it
    And the next 8 lookups go to the other worker

  Scenario: A proxy that knows no configuration says so for a while, and refuses nothing for good
    Given a proxy before
      | worker | script |
      | w1     |        |
    When it has no configuration yet
    Then a lookup is answered 503 with a time to come back
