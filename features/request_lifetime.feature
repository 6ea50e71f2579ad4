Feature: A request ends at its deadline or when its client disconnects, and each attempt carries the time left
  The scenarios cover the rules BUDGET, CONFIG and GONE of the user documentation, and deregistration without draining.

  Scenario: A retry carries the time left until the client's deadline
    Given a proxy with these scripted workers
      | worker | script     |
      | w1     | slow error |
      | w2     |            |
    When a client with a deadline of 1.5 s sends an idempotent request
    Then the response has status 200
    And the first worker received a deadline of at most 1.5 s, and the other at most 0.95 s

  Scenario: A request without a response at its route's time-out is answered 504 at that time
    Given a proxy with these scripted workers
      | worker | script |
      | w1     | silent |
    When a client with a deadline of 30 s sends a non-idempotent request
    Then the response has status 504 after 2 s, with a delay of at most 0.5 s

  Scenario: An idempotent request at a worker is cancelled soon after its client disconnects
    Given a proxy with these scripted workers
      | worker | script |
      | w1     | held   |
    When a client disconnects while the worker holds its idempotent request
    Then the worker's connection is closed within 0.5 s

  Scenario: A worker that deregisters without draining completes its request and gets no new one
    Given a proxy with these scripted workers
      | worker | script |
      | w1     | held   |
      | w2     |        |
    When the worker that holds an idempotent request deregisters
    Then that worker answers the request 200
    And the next 8 requests go to the other worker

  Scenario: A proxy without a configuration answers 503 with Retry-After
    Given a proxy with these scripted workers
      | worker | script |
      | w1     |        |
    When the proxy has no configuration
    Then a request is answered 503 with Retry-After
