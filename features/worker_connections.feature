Feature: A client gets its own answer or none, and a non-idempotent request runs once

  Scenario: All orders of up to four events at workers and connections, on two requests
    Then over 3500 states are reached with and without keys, and no rule is broken in any

  Scenario: Random runs of eight requests
    Then 2000 random runs of up to 80 events break no rule

  Scenario Outline: Each guard is needed
    Then without "<guard>" a rule is broken within <runs> random runs

    Examples:
      | guard | runs |
      | answers matched by id | 20 |
      | connections with surplus bytes closed | 20 |
      | truncated answers rejected | 20 |
      | embedded status lines rejected | 100 |
      | non-idempotent requests not retried | 20 |
      | unconfirmed promises of not run withheld | 40 |
      | another connection for the same request | 100 |

  Scenario: Each framing of an answer, truncated and split at each byte
    Then these are complete with their last byte only, in any two pieces, and kept if nothing follows
      | answer                                                                             | body  | method |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 5\n\nhello                       | hello | GET    |
      | HTTP/1.1 200 \nx-attempt-id:r\nContent-Length: 0\n\n                               |       | GET    |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n3\nhel\n2;x=y\nlo\n0\nX-T: 1\n\n | hello | GET |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 5\n\n                            |       | HEAD   |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n                   |       | HEAD   |
      | HTTP/1.1 204 No\nX-Attempt-Id: r\n\n                                               |       | GET    |
      | HTTP/1.1 304 No\nX-Attempt-Id: r\nContent-Length: 5\n\n                            |       | GET    |
      | HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early\nLink: a\n\nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\n\nx | x | GET |

  Scenario: Answers after which a connection is not kept
    Then these are complete, and their connection is not kept
      | answer                                                                                     |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nConnection: x, Close\nContent-Length: 0\n\n             |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\nfull                                   |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\n                                       |
      | HTTP/1.0 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n                                   |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n\n                                 |
      | HTTP/1.1 200 OK\nX-Attempt-Id: q\nContent-Length: 0\n\nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n |

  Scenario: A malformed answer ends the connection as soon as it is known to be one
    Then these are malformed
      | answer                                                                                              |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\nContent-Length: 1\n\nx                        |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1, 1\n\nx                                        |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: +1\n\nx                                          |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\nTransfer-Encoding: chunked\n\n1\nx\n0\n\n     |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: gzip, chunked\n\n1\nx\n0\n\n                  |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n1\nxy\n                             |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n-1\n                                |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nX-Attempt-Id: r\nContent-Length: 0\n\n                           |
      | HTTP/1.1 200 OK\nX-Attempt-Id: s\nX-Attempt-Id: r\nContent-Length: 0\n\n                           |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\n folded\nContent-Length: 0\n\n                                   |
      | HTTP/1.1 200 OK\nX-Attempt-Id : r\nContent-Length: 0\n\n                                           |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\n\n                                                               |
      | HTTP/1.1 200 OHTTP/1.1 503 No\nX-Attempt-Id: r\nContent-Length: 0\n\n                              |
      | HTTP/1.1 200 OK\nX-A: HTTP/1.1 503 No\nX-Attempt-Id: r\nContent-Length: 0\n\n                      |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n0\nX-T: HTTP/1.1 200 OK\n\n        |
      | HTTP/1.1 101 Switch\nX-Attempt-Id: r\n\n                                                           |
      | HTTP/1.1 20\n                                                                                       |
      | HTTP/2                                                                                              |
      | \nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n                                          |

  Scenario: An ambiguous request gets one clear 400, and nothing of it is forwarded
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    When a client sends each of these and then an idempotent request on the same connection
      | path     | fields                                               | body              |
      | /pay/1   | x-attempt-ID: r2                                     | x                 |
      | /pay/1   | X-Deadline-Ms: 900; x-deadline-ms: 900               | x                 |
      | /pay/1   | X-Shard-Key: 9; x-shard-key: 9                       | x                 |
      | /pay/1   | hOST: h.example                                      | x                 |
      | /pay/1   | Content-Length: 2                                    | x                 |
      | /pay/1   | Transfer-Encoding: chunked; Content-Length: 1        | 1\nx\n0\n\n      |
      | /pay/1   | Transfer-Encoding: gzip, chunked                     | 1\nx\n0\n\n      |
      | /pay/1   | Transfer-Encoding: chunked                           | 1\nx\nZ\n\n      |
      | /pay/1   | Transfer-Encoding: chunked                           | 1\nx\n0\n\n      |
      | /pay/1   | X-Long: a\n X-Attempt-Id: r2                         | x                 |
      | /keyed/1 | X-Shard-Key: ²                                       | x                 |
      | /none/1  |                                                      | GET /pay/2 HTTP/1.1\nHost: h.example\nX-Attempt-Id: r2\n\n |
      | /pay/1   | Connection: X-Attempt-Id, Host, X-A; Connection: X-B; X-A: 1; X-B: 1 | x |
      | /pay/1   | Connection: Upgrade; Upgrade: h2c                    | x                 |
      | /none/1  | Expect: 100-continue                                 |                   |
    Then the transcript of those connections is "ambiguous-requests"

  Scenario: A request with an empty id, and incomplete bodies
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then an empty X-Attempt-Id is answered 400, and nothing is forwarded
    And a body with a malformed chunk, or an incomplete one, is answered 408 at its client's deadline
    And a client that disconnects within its body leaves no state behind

  Scenario: The answer to a HEAD has no body, and states the length of what a GET would bring
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then a HEAD is answered 200 with "Content-Length: 4" and no body, and its connection is kept

  Scenario: A client that disconnects, or closes its half of the connection, before its answer
    Given a proxy in front of these workers
      | worker | script       |
      | w1     | held, answer |
    When a client disconnects while its non-idempotent request is at the worker
    Then its request ran once, and the next client gets its own answer on that connection

  Scenario: An answer arrives while the body is still being sent
    Given a proxy in front of these workers
      | worker | script        |
      | w1     | early, answer |
    When a client sends a body that the worker does not read
    Then the client gets the worker's 503, and the next request is sent on another connection

  Scenario: A connection that is made after a request's deadline carries nothing
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then a non-idempotent request whose connection takes longer than its deadline is answered 503 and never sent

  Scenario: A request answered "not run" twice is not sent again on that connection
    Given a proxy in front of these workers
      | worker | script             |
      | w1     | full twice, answer |
    Then a keyed idempotent request is answered 200 over 2 connections

  Scenario: Connections that may carry surplus bytes are closed
    Then one is closed after each of "silent, noise, extra", and when unsolicited bytes arrive
    And one that is closing carries no request
