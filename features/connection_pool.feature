Feature: Connections to workers are reused only where that is safe, and always closed

  Scenario: An idle connection is found dead: non-idempotent requests trust only fresher ones
    Given connections to a worker that are idle for 0.1 s, 0.3 s and 5 s
    When one that was idle for 0.4 s is reset on use
    Then an idempotent request takes the one idle for 0.1 s, the next the one idle for 0.3 s
    But a non-idempotent one takes none idle for over 0.2 s, and 5 s later none idle for over 0.4 s

  Scenario: A request is cancelled while its connection is being made
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    When a request is cancelled once its worker has accepted the connection
    Then the worker's connection is closed, and none is kept
