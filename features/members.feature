Feature: Who votes is shown and changed by command

  Scenario: An operator's calls are decoded, or refused with their fault
    When the body of a call about members is
      | body |
      | {"Do":"replace","Old":"10.0.0.5","New":"10.0.0.7"} |
      | {"Do":"remove","Old":"10.0.0.5"} |
      | {"Do":"add","New":"10.0.0.7","Later":1} |
      | {"Do":"replace","Old":"10.0.0.5"} |
      | {"Do":"replace","Old":"10.0.0.5","New":"10.0.0.5"} |
      | {"Do":"remove"} |
      | {"Do":"remove","Old":"10.0.0.5","New":"10.0.0.7"} |
      | {"Do":"add","Old":"10.0.0.5"} |
      | {"Do":"add","New":"core-7"} |
      | {"Do":"add","New":7} |
      | {"Do":"force","New":"10.0.0.7"} |
      | ["add"] |
      | {"Do": |
    Then the calls about members are "members-calls"

  Scenario: What is shown, sound and thin
    Given an archive that tells of three voters at epoch 3
    When an operator calls
      | words                   | change                                          |
      | members                 |                                                 |
      | members show --json     |                                                 |
      | members --json show     |                                                 |
      | members show            | members.10.0.0.5.state="lost"; margin=0; change="10.0.0.7 for 10.0.0.5" |
      | members show            | members.10.0.0.5.state="silent"; members.10.0.0.6.state="other disk"; margin=-1 |
      | members show            | gone=true                                       |
    Then the members are told "members-shown"

  Scenario: Orders, taken and refused
    Given an archive that tells of three voters at epoch 3
    When an operator calls
      | words                               | change                                  |
      | members replace 10.0.0.5 10.0.0.7   | answer=[200, {"Epoch":4}]               |
      | members replace 10.0.0.5 10.0.0.7 --json | answer=[200, {"Epoch":4}]          |
      | members remove 10.0.0.5             | answer=[409, {"Failure":"10.0.0.7 is joining: one change at a time"}] |
      | members remove 10.0.0.5 --json      | answer=[412, {"Failure":"too few would be left"}] |
      | members add 10.0.0.7                | answer=[503, {"Failure":"no majority heard in time"}] |
      | members add 10.0.0.7                | answer=[200, {"Epoch":4}]; moved=2      |
      | members add 10.0.0.7                | answer=[200, {"Epoch":4}]; moved=3      |
      | members add                         |                                         |
    Then the members are told "members-orders"

  Scenario: A call goes on to the next archive where one can't answer it
    Then of places that answer 500, 408, 429 or nothing, and one that answers 200, the last one's is taken
