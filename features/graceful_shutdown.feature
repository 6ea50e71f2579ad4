Feature: Requests are served during the drain of a worker and during the graceful shutdown of a proxy

  Scenario: A draining worker gets no request that another worker can serve
    Given a service of w1 and w2, without keys
    When w1 is registered as draining at 10 s
    Then of 200 requests at 10.001 s none goes to w1
    When w1 is registered as ready at 10.1 s by a delayed earlier heartbeat
    Then of 200 requests at 10.2 s none goes to w1

  Scenario: A draining worker gets requests for the keys that it owns, but only during a fraction of DrainS
    Given a service of w1 and w2, with keys all owned by w1
    When w1 is registered as draining at 10 s
    Then of 200 requests at 11 s all go to w1
    And of 200 requests at 11.6 s none goes to w1
    When the slice table moves all keys from w1 to w2
    Then of 200 requests at 11.7 s none goes to w2
    When w1 has released the keys
    Then of 200 requests at 11.8 s all go to w2

  Scenario: After SIGTERM a proxy is not ready, still answers new requests and completes the request in flight
    Given a proxy with a request in flight at its worker
    When the proxy receives SIGTERM
    Then readiness is 503, a request on a new connection is answered and the connection closed, and the request in flight is answered

  Scenario: After SIGTERM a proxy refuses connections once two health checks have failed
    Given a proxy with a request in flight at its worker
    When the proxy receives SIGTERM
    Then new connections are refused once two health checks have failed, and the request in flight is answered
