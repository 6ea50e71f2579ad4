Feature: A request is carried once, and its answer is its own

  Scenario: A connection closes after it was taken up again: every method arrives once
    Given a desk before
      | worker | script                                                              |
      | w1     | answer, close, answer, close, answer, close, answer, close, answer  |
    When clients ask
      | method | path    | id | body | fields |
      | PUT    | /pay/1  | a1 | x    |        |
      | PUT    | /pay/2  | a2 | x    |        |
      | POST   | /pay/3  | a3 | x    |        |
      | POST   | /pay/4  | a4 | x    |        |
      | DELETE | /pay/5  | a5 |      |        |
      | DELETE | /pay/6  | a6 |      |        |
      | GET    | /pay/7  | a7 |      |        |
      | GET    | /pay/8  | a8 |      |        |
    Then the exchange is "closed-after-taken-up"

  Scenario: What may repeat goes to a second worker, what may not does not
    Given a desk before
      | worker | script                         |
      | w1     | close, cut, close, cut, error, error |
      | w2     |                                |
    When clients ask
      | method | path    | id | body | fields |
      | GET    | /look/1 | b1 |      |        |
      | GET    | /look/2 | b2 |      |        |
      | POST   | /pay/3  | b3 | x    |        |
      | POST   | /pay/4  | b4 | x    |        |
      | GET    | /look/5 | b5 |      |        |
      | POST   | /pay/6  | b6 | x    |        |
    Then the exchange is "second-worker"

  Scenario: Extra, late, spoilt, unsealed and encoded answers
    Given a desk before
      | worker | script                                                       |
      | w1     | extra, answer, late extra, answer, noise, unsealed, encoded  |
    When clients ask
      | method | path    | id | body | fields |
      | POST   | /pay/1  | c1 | x    |        |
      | POST   | /pay/2  | c2 | x    |        |
      | POST   | /pay/3  | c3 | x    |        |
      | POST   | /pay/4  | c4 | x    |        |
      | POST   | /pay/5  | c5 | x    |        |
      | POST   | /pay/6  | c6 | x    |        |
      | POST   | /pay/7  | c7 | x    |        |
    Then the exchange is "spoilt-answers"

  Scenario: Not run is told from silence
    Given a desk before
      | worker | script                              |
      | w1     | full, elsewhere, silent, full, full |
      | w2     | answer, answer, full                |
    When clients ask
      | method | path    | id | body | fields              |
      | POST   | /pay/1  | d1 | x    |                     |
      | POST   | /pay/2  | d2 | x    |                     |
      | POST   | /pay/3  | d3 | x    | X-Deadline-Ms: 200  |
      | POST   | /pay/4  | d4 | x    |                     |
    Then the exchange is "not-run-and-silence"

  Scenario: A key has one holder, and is asked there again only after a while
    Given a desk before
      | worker | script                  |
      | w1     | elsewhere, answer, full |
    When clients ask
      | method | path     | id | body | fields            |
      | GET    | /keyed/1 | e1 |      | X-Shard-Key: 7    |
      | GET    | /keyed/2 | e2 |      | X-Shard-Key: 70000 |
      | GET    | /keyed/3 | e3 |      |                   |
      | GET    | /none/4  | e4 |      |                   |
      | POST   | /pay/%2F/..%41?q=%20 | e5 |      |         |
    Then the exchange is "keys-and-paths"

  Scenario: What a client may send, and how long it may take
    Given a desk whose configuration allows 300 bytes of headers, 20 of body and 0.1 s for a first request
    Then a client that sends half a request is let go
    And large headers are answered 431, a large body 413, and a proper request 200
    And a request that came while the desk stood still is answered, though its time is over by then

  Scenario: A connection may rest as long as the configuration says, and a request may still begin then
    Given a desk whose clients may rest for 5 s and take 2 s for the headers of a request
    Then it keeps a connection for 7 s after an answer

  Scenario: A worker without room for a connection has run nothing
    Given a desk before
      | worker | script                    |
      | w1     | no room, no room, no room |
      | w2     | answer                    |
    When clients ask
      | method | path     | id | body | fields            |
      | POST   | /pay/1   | f1 | x    |                   |
      | GET    | /keyed/2 | f2 |      | X-Shard-Key: 7    |
    Then the exchange is "no-room"

  Scenario: A connection that was found dead after a rest, and what may not be sent again
    Given connections kept to a worker that rested 0.1 s, 0.3 s and 5 s
    When one that rested 0.4 s was reset as soon as it was used
    Then what may repeat takes the one that rested 0.1 s, then 0.3 s
    But what may not repeat takes none that rested over 0.2 s for 5 s, then over 0.4 s

  Scenario: Desks share a worker's room without asking each other
    Given 62 desks and 67 workers of 57 connections each
    Then at no worker they keep over 45 connections, and on the mean about half of the room
    And no desk is without a connection to the same worker for 10 turns
