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
    Then the members are told "members-calls"

  Scenario: What is shown, sound and thin; orders, taken, refused, and told to go elsewhere
    When an operator calls an archive that tells of three voters at epoch 3
      | words                        | change                                                  |
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
    Then the members are told "members"
