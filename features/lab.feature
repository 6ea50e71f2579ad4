Feature: The emulator's audit finds what clients saw and ledgers don't hold, and the other way round

  Scenario: Each kind of finding
    Given clients' tries
      | order | attempt | effect | key | sent | ended | status | lines |
      | o1    | o1-1    | 1      | 7   | 1.0  | 1.1   | 200    | 1     |
      | o2    | o2-1    | 1      | 7   | 1.2  | 1.3   | 200    | 2     |
      | o3    | o3-1    | 1      | 8   | 1.0  | 1.1   | 503    |       |
      | o4    | o4-1    | 1      | 9   | 1.0  | 1.1   | 503    |       |
      | o4    | o4-2    | 1      | 9   | 1.2  | 1.3   | 200    | 1     |
      | o5    | o5-1    | 1      | 9   | 1.0  | 3.0   | 502    |       |
      | o6    | o6-1    | 0      | 7   | 1.25 | 1.4   | 200    | 1     |
      | o7    | o7-1    | 0      | 7   | 1.35 | 1.4   | 200    | 1     |
      | o8    | o8-1    | 1      | 5   | 1.0  | 1.1   | 200    | 1     |
    And lines in the ledger
      | order | attempt | key | worker | at   |
      | o1    | o1-1    | 7   | w1     | 1.05 |
      | o2    | o2-1    | 7   | w1     | 1.25 |
      | o3    | o3-1    | 8   | w1     | 1.05 |
      | o4    | o4-2    | 9   | w2     | 1.25 |
      | o5    | o5-1    | 9   | w2     | 2.5  |
      | o4    | o4-2    | 9   | w2     | 2.6  |
      | o9    | o9-1    | 4   | w1     | 1.0  |
    When w2 ended at 2
    Then the audit is "audit"

  Scenario: A faulty scenario is one line
    Then "seconds = 'x'" is refused with "seconds: expected a number, found 'x'"
    And a fault at a machine that is not there is refused with its place
    And so is a lost disk of a desk, and an archive that only a replacement brings is known
