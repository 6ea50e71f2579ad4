Feature: Every request to put a configuration gets one definite answer that never changes

  Scenario Outline: Answers are consistent under lost, duplicated and late messages, stops and lost answers
    Then 40 random runs with <voters> voters keep the invariants
    And without each of these guards an invariant is violated within 20 runs with <voters> voters
      | guard                                          |
      | a quorum is a majority                         |
      | a value accepted by a minority is not chosen   |
      | a discarded revision is not rejected           |
      | a repeated request is recognized               |
      | repeats are recognized by digest, not revision |
      | a rejection for an unknown parent is recorded  |
      | each revision has at most one successor        |

    Examples:
      | voters |
      | 3      |
      | 5      |

  Scenario: A register value from an older release gives each kind of request the expected answer
    Given the register value of an older release that holds r9 after r7
    Then successive requests get these answers
      | revision | parent | content | answer | reason                                       |
      | 9        | 7      | r9      | 200    | it is in force                               |
      | 7        | 5      | r7      | 200    | it was in force                              |
      | 7        | 5      | other   | 412    | r7 was another configuration                 |
      | 8        | 7      | late    | 412    | r9 already succeeds r7                       |
      | 6        | 5      | old     | 503    | the digest of r6 is not kept                 |
      | 9        | 9      | flat    | 400    | its revision is not above its parent         |
      | 12       | 11     | early   | 412    | r11 is unknown, so the rejection is recorded |
      | 11       | 9      | next    | 200    | it succeeds r9                               |
      | 12       | 11     | early   | 412    | it was rejected before                       |
      | 12       | 11     | after   | 200    | it has the same revision and another digest  |
    And no recorded rejection is left
    And of 100 requests with an unknown parent 64 are rejected and the others get status 503

  Scenario Outline: A read never returns a revision older than one acknowledged before the read started
    Then 12 runs with a distant reader and <voters> voters keep the invariants
    And the same runs without proposer backoff keep the invariants
    And adding changes to a started round violates an invariant within 12 of these runs

    Examples:
      | voters |
      | 3      |
      | 5      |

  Scenario: Hundreds of successive changes and their repeats are all acknowledged
    Then 400 successive changes and their repeats are all acknowledged
    And with 50 kept digests older repeats get no definite answer and no request is rejected

  Scenario: An isolated controller gives only the answers that follow from the revision that it holds
    Given all controllers hold r2 as the successor of r1
    When one controller is isolated
    Then it acknowledges r1 and r2 again
    And it rejects another configuration on r1
    And it gives no definite answer to another configuration on r2

  Scenario Outline: Eight concurrent requests get definite answers in time
    Then eight requests with <voters> voters and <links> are answered within half of AckS in 20 seeds

    Examples:
      | voters | links               |
      | 3      | distant controllers |
      | 3      | one slow link       |
      | 5      | distant controllers |
      | 5      | one slow link       |

  Scenario: Proposer backoff and batches are needed for the answer times
    Then without proposer backoff an answer takes more than half of AckS within 20 seeds
    And eight requests at one distant controller take less than three times as long as one request
    And with one change per round they take more than three times as long within 20 seeds
