Feature: Sets of voters change one at a time, and nothing acknowledged is lost on the way

  Scenario Outline: Every order of what may happen, up to a depth
    Then all <states> states or more of "<shape>" up to depth <depth> are sound

    Examples:
      | shape         | depth | states |
      | lost disk     | 9     | 18000  |
      | spare         | 8     | 43000  |
      | power         | 7     | 28000  |
      | amid a change | 10    | 16000  |
      | chosen before | 9     | 37000  |
      | two left over | 7     | 24000  |
      | two changes   | 6     | 7000   |
      | slow disks    | 10    | 39000  |
      | late answers  | 9     | 43000  |

  Scenario Outline: A guard that is taken out is found out by the search
    Then without "<guard>" something breaks within <states> states of "<shape>"

    Examples:
      | guard                          | shape         | states |
      | epochs of ballots              | amid a change | 15000  |
      | disks of members               | lost disk     | 6000   |
      | a majority of seals            | chosen before | 5000   |
      | what was carried is not chosen | two left over | 1600   |
      | seals on disk                  | amid a change | 19000  |
      | voting once active             | chosen before | 2000   |

  Scenario: Orders of events that once broke, or would without a guard
    Then all directed plays keep what was acknowledged

  Scenario Outline: A guard that is taken out is found out by a directed play
    Then without "<guard>" the play "<play>" breaks

    Examples:
      | guard                       | play                                               |
      | disks of members            | forgotten promise, three voters and a spare        |
      | disks of members            | forgotten promise, five voters                     |
      | epochs of ballots           | late promise of a sealed voter                     |
      | voting once active          | joining from one active voter and from sealed ones |
      | who counts as active        | a pulse of the epoch before                        |
      | rows with their fact        | a refused write and the next                       |
      | older disks are minded      | an older disk, three voters                        |
      | older disks are minded      | an older disk, five voters                         |

  Scenario: Days of faults within Tolerance
    Then in 24 days by dice everything acknowledged stays, and a majority answers
    And in 6 days in which older disks come back too

  Scenario Outline: A guard that is taken out is found out by the dice
    Then without "<guard>" something breaks within <count> days

    Examples:
      | guard                       | count |
      | leaving once others hold it | 8     |
      | who counts as active        | 45    |
