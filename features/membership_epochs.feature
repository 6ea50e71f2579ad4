Feature: Voter sets change one at a time, and no acknowledged configuration is lost by a change

  Scenario: No scripted order of events breaks a rule
    Then no scripted case breaks a rule

  Scenario Outline: A scripted case detects that a guard is missing
    Then without the guard "<guard>", the case "<case>" breaks a rule

    Examples:
      | guard                                            | case                                                       |
      | seats belong to one disk                         | forgotten promise, three voters and a spare                |
      | seats belong to one disk                         | forgotten promise, five voters                             |
      | proposals count only in their epoch              | late promise of a sealed voter                             |
      | members vote only once active                    | joining by reports of one active voter or of sealed voters |
      | only voters of the current epoch count as active | a heartbeat of the previous epoch                          |
      | rows of a refused write are repeated             | a refused write and the next write                         |
      | a disk rollback is detected                      | forgotten promise after a disk rollback, three voters      |
      | a disk rollback is detected                      | forgotten promise after a disk rollback, five voters       |
      | a voter that stopped voting reports no state     | a voter that stopped voting                                |

  Scenario: Random runs with faults within Tolerance lose no acknowledged configuration
    Then in 24 random runs no acknowledged configuration is lost, and a majority answers
    And the same holds in 8 random runs with disk rollbacks

  Scenario Outline: Random runs detect that a guard is missing
    Then without the guard "<guard>", one of <count> random runs breaks a rule

    Examples:
      | guard                                                   | count |
      | a leaving voter waits until others hold its acceptances | 8     |
      | only voters of the current epoch count as active        | 45    |
