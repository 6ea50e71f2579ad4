Feature: A client gets the response to its own request, and a non-idempotent request runs at most once

  Scenario: No order of up to four events at workers and connections breaks a rule for two requests
    Then more than 3500 states are reached with and without keys, and no rule is broken

  Scenario: No random run of events breaks a rule for eight requests
    Then 2000 random runs of up to 80 events break no rule

  Scenario Outline: Without a guard, a rule is broken
    Then without "<guard>" a rule is broken within <runs> random runs

    Examples:
      | guard                                 | runs |
      | responses matched by id               | 20   |
      | connections with surplus bytes closed | 20   |
      | truncated responses rejected          | 20   |
      | embedded status lines rejected        | 100  |
      | non-idempotent requests not retried   | 20   |
      | unconfirmed not-run statuses replaced | 40   |
      | retries on another connection         | 100  |

  Scenario: A response of each framing is complete at its last byte only, wherever it is truncated or split
    Then each response is complete at its last byte only, and its connection is reusable unless more bytes follow
      | response                                                                                                         | body  | method |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 5\n\nhello                                                     | hello | GET    |
      | HTTP/1.1 200 \nx-attempt-id:r\nContent-Length: 0\n\n                                                             |       | GET    |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n3\nhel\n2;x=y\nlo\n0\nX-T: 1\n\n                 | hello | GET    |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 5\n\n                                                          |       | HEAD   |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n                                                 |       | HEAD   |
      | HTTP/1.1 204 No\nX-Attempt-Id: r\n\n                                                                             |       | GET    |
      | HTTP/1.1 304 No\nX-Attempt-Id: r\nContent-Length: 5\n\n                                                          |       | GET    |
      | HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early\nLink: a\n\nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\n\nx | x     | GET    |

  Scenario: A connection is not reused after a response that closes it, or if it also carried other bytes
    Then each response is complete, and its connection is not reusable
      | response                                                                                                       |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nConnection: x, Close\nContent-Length: 0\n\n                                  |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\nfull                                                       |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\n                                                           |
      | HTTP/1.0 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n                                                        |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n\n                                                      |
      | HTTP/1.1 200 OK\nX-Attempt-Id: q\nContent-Length: 0\n\nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n |

  Scenario: A malformed response ends the connection as soon as it is known to be malformed
    Then each response is malformed
      | response                                                                                       |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\nContent-Length: 1\n\nx                    |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1, 1\n\nx                                    |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: +1\n\nx                                      |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 1\nTransfer-Encoding: chunked\n\n1\nx\n0\n\n |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: gzip, chunked\n\n1\nx\n0\n\n              |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n1\nxy\n                        |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n-1\n                           |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nX-Attempt-Id: r\nContent-Length: 0\n\n                       |
      | HTTP/1.1 200 OK\nX-Attempt-Id: s\nX-Attempt-Id: r\nContent-Length: 0\n\n                       |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\n folded\nContent-Length: 0\n\n                               |
      | HTTP/1.1 200 OK\nX-Attempt-Id : r\nContent-Length: 0\n\n                                       |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\n\n                                                           |
      | HTTP/1.1 200 OHTTP/1.1 503 No\nX-Attempt-Id: r\nContent-Length: 0\n\n                          |
      | HTTP/1.1 200 OK\nX-A: HTTP/1.1 503 No\nX-Attempt-Id: r\nContent-Length: 0\n\n                  |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nTransfer-Encoding: chunked\n\n0\nX-T: HTTP/1.1 200 OK\n\n    |
      | HTTP/1.1 101 Switch\nX-Attempt-Id: r\n\n                                                       |
      | HTTP/1.1 20\n                                                                                  |
      | HTTP/2                                                                                         |
      | \nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n                                      |

  Scenario: Requests with ambiguous headers or bodies are rejected or forwarded as a single request
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    When a client sends each of these and then an idempotent request on the same connection
      | path     | fields                                                               | body                                                       |
      | /pay/1   | x-attempt-ID: r2                                                     | x                                                          |
      | /pay/1   | X-Deadline-Ms: 900; x-deadline-ms: 900                               | x                                                          |
      | /pay/1   | X-Shard-Key: 9; x-shard-key: 9                                       | x                                                          |
      | /pay/1   | hOST: h.example                                                      | x                                                          |
      | /pay/1   | Content-Length: 2                                                    | x                                                          |
      | /pay/1   | Transfer-Encoding: chunked; Content-Length: 1                        | 1\nx\n0\n\n                                                |
      | /pay/1   | Transfer-Encoding: gzip, chunked                                     | 1\nx\n0\n\n                                                |
      | /pay/1   | Transfer-Encoding: chunked                                           | 1\nx\nZ\n\n                                                |
      | /pay/1   | Transfer-Encoding: chunked                                           | 1\nx\n0\n\n                                                |
      | /pay/1   | X-Long: a\n X-Attempt-Id: r2                                         | x                                                          |
      | /keyed/1 | X-Shard-Key: ²                                                       | x                                                          |
      | /none/1  |                                                                      | GET /pay/2 HTTP/1.1\nHost: h.example\nX-Attempt-Id: r2\n\n |
      | /pay/1   | Connection: X-Attempt-Id, Host, X-A; Connection: X-B; X-A: 1; X-B: 1 | x                                                          |
      | /pay/1   | Connection: Upgrade; Upgrade: h2c                                    | x                                                          |
      | /none/1  | Expect: 100-continue                                                 |                                                            |
    Then the transcript of those connections is "ambiguous-requests"

  Scenario: Requests with an empty id or an incomplete body are not forwarded
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then a request with an empty X-Attempt-Id gets status 400 and is not forwarded
    And a request with a malformed chunk or an incomplete body gets status 408 at its deadline
    And a client that disconnects within its body leaves no request in flight and no body bytes

  Scenario: The response to a HEAD request has no body and the length of the GET response
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then a HEAD request gets status 200 with "Content-Length: 4" and no body, and its connection is reused

  Scenario: The request of a client that disconnects or closes its half of the connection still runs once
    Given a proxy in front of these workers
      | worker | script       |
      | w1     | held, answer |
    When a client disconnects while its non-idempotent request is at the worker
    Then its request runs once, and the next client gets its own response on that connection

  Scenario: A response that arrives while the body is being sent is forwarded, and its connection is not reused
    Given a proxy in front of these workers
      | worker | script        |
      | w1     | early, answer |
    When a client sends a body that the worker does not read
    Then the client gets the worker's 503, and the next request is sent on another connection

  Scenario: A connection that is established after a request's deadline is not used
    Given a proxy in front of these workers
      | worker | script |
      | w1     |        |
    Then a non-idempotent request is not sent and gets status 503 if connecting exceeds its deadline

  Scenario: A request whose rejection arrives twice is not sent again on the same connection
    Given a proxy in front of these workers
      | worker | script             |
      | w1     | full twice, answer |
    Then a keyed idempotent request gets status 200 after attempts on 2 connections

  Scenario: A connection that may carry surplus bytes is closed, and a closing connection sends no request
    Then a connection is closed after each of the worker steps "silent, noise, extra" and after unsolicited bytes
    And a closing connection sends no request
