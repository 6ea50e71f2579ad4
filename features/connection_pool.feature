Feature: Connections to workers are reused only if that is safe, and closed if no request can use them

  Scenario: After a connection is found dead, non-idempotent requests use only connections that were idle for a shorter time
    Given connections to a worker that are idle for 0.1 s, 0.3 s and 5 s
    When a connection that was idle for 0.4 s is reset on use
    Then an idempotent request takes the connection idle for 0.1 s, and the next request the one idle for 0.3 s
    But a non-idempotent request takes no connection idle for more than 0.2 s, and 5 s later none idle for more than 0.4 s

  Scenario: A new connection is closed if its request is cancelled while the connection is being opened
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    When a request is cancelled once its worker has accepted the connection
    Then the connection is closed and not kept in the pool
