Feature: Sets of voters, searched through: every order of events up to a depth

  Scenario Outline: Every order of what may happen, up to a depth
    Then all <states> states or more of "<shape>" up to depth <depth> are sound

    Examples:
      | shape         | depth | states |
      | lost disk     | 9     | 18000  |
      | any disk      | 6     | 9800   |
      | spare         | 8     | 43000  |
      | power         | 7     | 28000  |
      | amid a change | 10    | 16000  |
      | chosen before | 9     | 37000  |
      | two left over | 7     | 24000  |
      | two changes   | 6     | 7000   |
      | slow disks    | 10    | 39000  |
      | late answers  | 9     | 43000  |

  Scenario: From each state the core finds its way, also where a second change began too soon
    Then in 3000 of the last states of "second change" at depth 7 a majority answers in the end
    And without "seals of unused seats" in one of them it does not

  Scenario Outline: A guard that is taken out is found out by the search
    Then without "<guard>" something breaks within <states> states of "<shape>"

    Examples:
      | guard                          | shape         | states |
      | epochs of proposals              | amid a change | 15000  |
      | disks of members               | lost disk     | 6000   |
      | a majority of seals            | chosen before | 5000   |
      | what was carried is not chosen | two left over | 1600   |
      | seals on disk                  | amid a change | 19000  |
      | voting once active             | chosen before | 2000   |
