Feature: Draining workers, and graceful shutdown of a proxy

  Scenario: A worker that is known to drain gets no request that another can serve
    Given a service of w1 and w2, without keys
    When w1 is known to drain from 10 s
    Then of 200 requests at 10.001 s none goes to w1
    When w1 is reported ready at 10.1 s, by a call that was sent before
    Then of 200 requests at 10.2 s none goes to w1

  Scenario: A draining worker gets the keys that nobody else owns, but for a fraction of DrainS only
    Given a service of w1 and w2, with keys all owned by w1
    When w1 is known to drain from 10 s
    Then of 200 requests at 11 s all go to w1
    And of 200 requests at 11.6 s none goes to w1
    When the slice table moves all keys from w1 to w2
    Then of 200 requests at 11.7 s none goes to w2
    When w1 has released them
    Then of 200 requests at 11.8 s all go to w2

  Scenario: SIGTERM with a request in flight
    Given a proxy with a request in flight at its worker
    When the proxy gets SIGTERM
    Then readiness is 503, a new connection is answered and closed, and the request in flight is answered

  Scenario: A proxy refuses connections once the platform has seen that it is not ready
    Given a proxy with a request in flight at its worker
    When the proxy gets SIGTERM
    Then new connections are refused once two health checks have failed, and the request in flight is answered
