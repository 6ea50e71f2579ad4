Feature: A caller gets its own answer or none, and what may not repeat runs once

  Scenario: All orders of what workers and the wire may do, up to four events, on two requests
    Then over 3500 states are met with and without keys, and no rule breaks in any

  Scenario: Longer plays of eight requests, by dice
    Then 2000 seeds of up to 80 events break no rule

  Scenario Outline: Each guard is needed
    Then without "<guard>" a rule breaks within <seeds> seeds

    Examples:
      | guard     | seeds |
      | id        | 20    |
      | kept      | 20    |
      | cut       | 20    |
      | glued     | 100   |
      | again     | 20    |
      | bare      | 40    |
      | same line | 100   |

  Scenario: Each framing of an answer, cut and split at each byte
    Then these are whole with their last byte and not before, in any two pieces, and kept with nothing beyond
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
    Then these are whole, and their connection is not kept
      | answer                                                                                     |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nConnection: x, Close\nContent-Length: 0\n\n             |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\nfull                                   |
      | HTTP/1.1 503 Full\nX-Attempt-Id: r\nX-Not-Run: 1\n\n                                       |
      | HTTP/1.0 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n                                   |
      | HTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n\n                                 |
      | HTTP/1.1 200 OK\nX-Attempt-Id: q\nContent-Length: 0\n\nHTTP/1.1 200 OK\nX-Attempt-Id: r\nContent-Length: 0\n\n |

  Scenario: Bytes that form no answer end the connection as they come
    Then these are no answers
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

  Scenario: What can be read in two ways gets one clear 400, and nothing of it goes on
    Given a desk before
      | worker | script |
      | w1     |        |
    When a client sends each of these and then a lookup on the same connection
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
    Then the answers on those connections are "two-ways"

  Scenario: A request without an id of its own, and bodies that don't come whole
    Given a desk before
      | worker | script |
      | w1     |        |
    Then an empty X-Attempt-Id is answered 400, and nothing is sent on
    And a body with a bad chunk, or one that ends half way, is answered 408 when its client's time is over
    And a client that goes away in its body leaves nothing behind

  Scenario: The answer to a HEAD is whole without a body, and names the length of what a GET would bring
    Given a desk before
      | worker | script |
      | w1     |        |
    Then a HEAD is answered 200 with "Content-Length: 4" and no body, and its connection is kept

  Scenario: A client that goes away, or closes its half, amid an answer
    Given a desk before
      | worker | script       |
      | w1     | held, answer |
    When a client leaves while its effect is at the worker
    Then its effect ran once, and the next client gets its own answer on that connection

  Scenario: An answer comes while the body still goes out
    Given a desk before
      | worker | script        |
      | w1     | early, answer |
    When a client sends a body that the worker does not read
    Then the client gets the worker's 503, and the next request goes out on another connection

  Scenario: A connection that comes up after a request's time is over carries nothing
    Given a desk before
      | worker | script |
      | w1     |        |
    Then an effect whose connection takes longer than its client waits is answered 503, and never arrives

  Scenario: What was answered "not run" twice is not sent again on that connection
    Given a desk before
      | worker | script             |
      | w1     | full twice, answer |
    Then a keyed lookup is answered 200 over 2 connections

  Scenario: Connections that can't be trusted are closed
    Then one is closed after each of "silent, noise, extra", and as bytes come that nobody asked for
    And one that is closing carries nothing
