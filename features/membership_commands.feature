Feature: Who votes is shown and changed by command

  Scenario: An operator's calls are decoded, or refused with their fault
    When the body of a call about members is
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
    Then the membership is shown as "members-calls"

  Scenario: What is shown with and without a margin; orders that are taken, refused and redirected
    When an operator calls a controller that shows three voters at epoch 3
      | command                      | change                                                  |
      | members                      |                                                         |
      | members --json show          |                                                         |
      | members show                 | 10.0.0.5="lost"; margin=0; change="10.0.0.7 for 10.0.0.5" |
      | members show                 | 10.0.0.5="silent"; 10.0.0.6="other disk"; margin=-1     |
      | members show                 | gone=true                                               |
      | members replace 10.0.0.5 10.0.0.7 | answer=[200, {"Epoch":4}]                          |
      | members remove 10.0.0.5      | answer=[409, {"Failure":"one change at a time"}]        |
      | members add 10.0.0.7 --json  | answer=[200, {"Epoch":4}]; moved=2                      |
      | members add 10.0.0.7         | answer=[200, {"Epoch":4}]; moved=3                      |
      | members add 10.0.0.7         | answer=[503, {"Failure":"no majority heard in time"}]   |
      | members add 10.0.0.7         | answer=[408, {}]                                        |
      | members add 10.0.0.7         | answer=[429, {}]                                        |
    Then the membership is shown as "members"

  Scenario: Real controllers: seats follow losses, a second loss right after is survived, and orders by command
    Given three controllers that vote, with a configuration, and a spare
    When controller 3 is killed and stays away
    Then controller 4 has its seat, no sooner than its time is up
    When controller 2 is killed
    Then the configuration is read back and a new one is taken
    When controllers 2 and 3 return
    Then controller 3 is a spare
    When controller 2 receives SIGTERM
    Then it has ended in order within GraceS and controller 3 has its seat
    When controller 4 is killed
    Then the configuration is read back and a new one is taken
    When controllers 2 and 4 return
    Then controller 2 is a spare
    When controller 3 is killed and returns with an empty disk
    Then its new disk has the seat, and controller 2 is a spare
    When controller 4 is killed
    Then the configuration is read back and a new one is taken
    When controller 4 returns
    Then controller 2 is a spare
    When an operator orders
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
    Then the membership is shown as "members-live"
    And the configuration is read back and a new one is taken

  Scenario: Disks of form 1, which knew no epochs: all is kept, and each seat gets its disk's name
    Given three controllers whose disks the program before epochs has written
    Then they vote on them, each seat with its disk's name, with the configuration that lay there
    When controller 3 receives SIGTERM, with nobody to take its seat
    Then it has ended in order within GraceS
    And the configuration is read back and a new one is taken
    When controller 3 returns
    And controller 2 is killed
    Then the configuration is read back and a new one is taken
