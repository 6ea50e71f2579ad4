Feature: An exhaustive search of all orders of events finds no broken rule in small clusters

  Scenario Outline: No order of events up to a depth breaks a rule
    Then the search of "<shape>" to depth <depth> visits at least <states> states, and none breaks a rule

    Examples:
      | shape                       | depth | states |
      | lost disk                   | 9     | 18000  |
      | any lost disk               | 6     | 9800   |
      | spare                       | 8     | 43000  |
      | power loss                  | 7     | 28000  |
      | after a chosen change       | 10    | 16000  |
      | change after a chosen value | 9     | 37000  |
      | two unfinished proposals    | 7     | 24000  |
      | two concurrent changes      | 6     | 7000   |
      | slow disks                  | 10    | 39000  |
      | late replies                | 9     | 43000  |

  Scenario: A majority answers in the end even if a second change began too early
    Then from 3000 states of "second change" at depth 7, a majority answers in the end
    And without the guard "seals of unused seats count", no majority answers from one of them

  Scenario Outline: The search detects that a guard is missing
    Then without the guard "<guard>", one of the first <states> states of "<shape>" breaks a rule

    Examples:
      | guard                                      | shape                       | states |
      | proposals count only in their epoch        | after a chosen change       | 15000  |
      | seats belong to one disk                   | lost disk                   | 6000   |
      | a voter needs a majority of seals          | change after a chosen value | 5000   |
      | carried-over values do not count as chosen | two unfinished proposals    | 1600   |
      | seals are durable before replies           | after a chosen change       | 19000  |
      | members vote only once active              | change after a chosen value | 2000   |
