Feature: The proxy forwards each request, retries it only if that is safe, and returns the response to that request

  Scenario: A request whose connection is closed on reuse arrives once and is answered 502, whatever its method
    Given a proxy in front of these workers
      | worker | script                                                              |
      | w1     | answer, close, answer, close, answer, close, answer, close, answer  |
    When clients send
      | method | path    | id | body | fields |
      | PUT    | /pay/1  | a1 | x    |        |
      | PUT    | /pay/2  | a2 | x    |        |
      | POST   | /pay/3  | a3 | x    |        |
      | POST   | /pay/4  | a4 | x    |        |
      | DELETE | /pay/5  | a5 |      |        |
      | DELETE | /pay/6  | a6 |      |        |
      | GET    | /pay/7  | a7 |      |        |
      | GET    | /pay/8  | a8 |      |        |
    Then the transcript is "connection-closed-on-reuse"

  Scenario: Idempotent requests are retried at a second worker, and non-idempotent requests are not
    Given a proxy in front of these workers
      | worker | script                         |
      | w1     | close, cut, close, cut, error, error |
      | w2     |                                |
    When clients send
      | method | path    | id | body | fields |
      | GET    | /look/1 | b1 |      |        |
      | GET    | /look/2 | b2 |      |        |
      | POST   | /pay/3  | b3 | x    |        |
      | POST   | /pay/4  | b4 | x    |        |
      | GET    | /look/5 | b5 |      |        |
      | POST   | /pay/6  | b6 | x    |        |
    Then the transcript is "retry-at-second-worker"

  Scenario: Surplus and late responses are discarded, and malformed, unsealed and encoded ones are answered 502
    Given a proxy in front of these workers
      | worker | script                                                       |
      | w1     | extra, answer, late extra, answer, noise, unsealed, encoded  |
    When clients send
      | method | path    | id | body | fields |
      | POST   | /pay/1  | c1 | x    |        |
      | POST   | /pay/2  | c2 | x    |        |
      | POST   | /pay/3  | c3 | x    |        |
      | POST   | /pay/4  | c4 | x    |        |
      | POST   | /pay/5  | c5 | x    |        |
      | POST   | /pay/6  | c6 | x    |        |
      | POST   | /pay/7  | c7 | x    |        |
    Then the transcript is "malformed-answers"

  Scenario: A request that was not run is retried or answered 503, and one that timed out is answered 504
    Given a proxy in front of these workers
      | worker | script                              |
      | w1     | full, elsewhere, silent, full, full |
      | w2     | answer, answer, full                |
    When clients send
      | method | path    | id | body | fields              |
      | POST   | /pay/1  | d1 | x    |                     |
      | POST   | /pay/2  | d2 | x    |                     |
      | POST   | /pay/3  | d3 | x    | X-Deadline-Ms: 200  |
      | POST   | /pay/4  | d4 | x    |                     |
    Then the transcript is "not-run-and-timed-out"

  Scenario: A keyed request is retried only at its key's owner after a backoff, and invalid keys are rejected
    Given a proxy in front of these workers
      | worker | script                  |
      | w1     | elsewhere, answer, full |
    When clients send
      | method | path     | id | body | fields            |
      | GET    | /keyed/1 | e1 |      | X-Shard-Key: 7    |
      | GET    | /keyed/2 | e2 |      | X-Shard-Key: 70000 |
      | GET    | /keyed/3 | e3 |      |                   |
      | GET    | /none/4  | e4 |      |                   |
      | POST   | /pay/%2F/..%41?q=%20 | e5 |      |         |
    Then the transcript is "keys-and-paths"

  Scenario: Requests that exceed the configured limits are rejected, and a slow client is disconnected
    Given a proxy whose configuration allows 300 bytes of headers, 20 of body and 0.1 s for a first request
    Then a client that sends an incomplete request head is disconnected
    And a request with large headers is answered 431, one with a large body 413, and one within the limits 200
    And a request that arrives while the event loop is blocked is answered, although its time-out passes meanwhile

  Scenario: An idle client connection is kept for the idle time-out plus the header time-out
    Given a proxy with an idle time-out of 5 s and a header time-out of 2 s
    Then it keeps a client's connection for 7 s after a response

  Scenario: A request is retried after a worker rejects its connection, even if it is not idempotent
    Given a proxy in front of these workers
      | worker | script                    |
      | w1     | no room, no room, no room |
      | w2     | answer                    |
    When clients send
      | method | path     | id | body | fields            |
      | POST   | /pay/1   | f1 | x    |                   |
      | GET    | /keyed/2 | f2 |      | X-Shard-Key: 7    |
    Then the transcript is "connection-rejected"
