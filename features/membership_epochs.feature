Feature: Sets of voters change one at a time, and nothing acknowledged is lost on the way

  Scenario: Orders of events that once broke, or would without a guard
    Then all directed plays keep what was acknowledged

  Scenario Outline: A guard that is taken out is found out by a directed play
    Then without "<guard>" the play "<play>" breaks

    Examples:
      | guard                       | play                                               |
      | disks of members            | forgotten promise, three voters and a spare        |
      | disks of members            | forgotten promise, five voters                     |
      | epochs of proposals           | late promise of a sealed voter                     |
      | voting once active          | joining from one active voter and from sealed ones |
      | who counts as active        | a heartbeat of the epoch before                        |
      | rows with their fact        | a refused write and the next                       |
      | a rolled-back disk is detected      | an older disk, three voters                        |
      | a rolled-back disk is detected      | an older disk, five voters                         |

  Scenario: Days of faults within Tolerance
    Then in 24 days by dice everything acknowledged stays, and a majority answers
    And in 8 days in which older disks come back too

  Scenario Outline: A guard that is taken out is found out by the dice
    Then without "<guard>" something breaks within <count> days

    Examples:
      | guard                       | count |
      | leaving once others hold it | 8     |
      | who counts as active        | 45    |
