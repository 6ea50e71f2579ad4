Feature: Operators show and change the voter set with commands

  Scenario: A membership call is decoded, or rejected with a reason
    When the body of a membership call is
      | body |
      | {"Do":"replace","Old":"10.0.0.5","New":"10.0.0.7"} |
      | {"Do":"remove","Old":"10.0.0.5","Later":1} |
      | {"Do":"add","New":"10.0.0.7"} |
      | {"Do":"replace","Old":"10.0.0.5"} |
      | {"Do":"replace","Old":"10.0.0.5","New":"10.0.0.5"} |
      | {"Do":"add","Old":"10.0.0.5","New":"10.0.0.7"} |
      | {"Do":"add","New":"core-7"} |
      | {"Do":"force","New":"10.0.0.7"} |
      | {"Do": |
    Then the output matches the approved membership output "members-calls"

  Scenario: The output shows the failure margin, and accepted, rejected and redirected changes
    When an operator calls a stub of a controller with three voters at epoch 3
      | command                           | stub fields                                               |
      | members                           |                                                           |
      | members --json show               |                                                           |
      | members show                      | 10.0.0.5="lost"; margin=0; change="10.0.0.7 for 10.0.0.5" |
      | members show                      | 10.0.0.5="silent"; 10.0.0.6="other disk"; margin=-1       |
      | members show                      | gone=true                                                 |
      | members replace 10.0.0.5 10.0.0.7 | answer=[200, {"Epoch":4}]                                 |
      | members remove 10.0.0.5           | answer=[409, {"Failure":"one change at a time"}]          |
      | members add 10.0.0.7 --json       | answer=[200, {"Epoch":4}]; moved=2                        |
      | members add 10.0.0.7              | answer=[200, {"Epoch":4}]; moved=3                        |
      | members add 10.0.0.7              | answer=[503, {"Failure":"no majority heard in time"}]     |
      | members add 10.0.0.7              | answer=[408, {}]                                          |
      | members add 10.0.0.7              | answer=[429, {}]                                          |
    Then the output matches the approved membership output "members"

  Scenario: Real controllers replace lost voters, survive a second loss, and follow commands
    Given three voting controllers with a configuration, and a spare
    When controller 3 is killed and does not return
    Then controller 4 gets the seat after half of CatchUpS, not before
    When controller 2 is killed
    Then the configuration can be read, and a new one is acknowledged
    When controllers 2 and 3 return
    Then controller 3 is a spare
    When controller 2 receives SIGTERM
    Then it completes its shutdown within GraceS, and controller 3 gets the seat
    When controller 4 is killed
    Then the configuration can be read, and a new one is acknowledged
    When controllers 2 and 4 return
    Then controller 2 is a spare
    When controller 3 is killed and returns with an empty disk
    Then its new disk gets the seat, and controller 2 is a spare
    When controller 4 is killed
    Then the configuration can be read, and a new one is acknowledged
    When controller 4 returns
    Then controller 2 is a spare
    When an operator runs these commands
      | command                             |
      | members                             |
      | members --json                      |
      | members remove archive-3            |
      | members replace archive-3 archive-2 |
      | members replace archive-3 archive-2 |
      | members add archive-3               |
      | members show                        |
      | members add archive-3 --json        |
      | members remove archive-4 --json     |
      | members remove archive-4            |
      | members remove archive-9            |
      | members replace archive-4 archive-3 |
      | members add archive-9               |
    Then the output matches the approved membership output "members-live"
    And the configuration can be read, and a new one is acknowledged

  Scenario: Disks of schema version 1, without epochs, keep their data, and each seat gets the name of its disk
    Given three controllers with disks from a release without epochs
    Then all three vote, each seat names its disk, and the stored configuration can be read
    When controller 3 receives SIGTERM without a successor
    Then it completes its shutdown within GraceS
    And the configuration can be read, and a new one is acknowledged
    When controller 3 returns
    And controller 2 is killed
    Then the configuration can be read, and a new one is acknowledged
