Feature: A worker that a drain plan takes out of service has no work in flight when it is out

  Scenario: Plans, waves, partitions, restarts and cancellations in any order
    Then in 40 plays of 120 s no connected proxy has work at a worker that is out of service

  Scenario: Each guard is needed
    Then without each proxy's confirmation a worker is out of service too soon within 40 plays
    And without the check for work in flight a worker is out of service too soon within 40 plays
    And without the version that a step rests on a worker is out of service too soon within 10 plays

  Scenario: What can't be planned is refused with the reason
    Given a service of w1, w2 and w3
    When plan a takes w1 and w2, and plan b takes w2
    And plan c takes w3, plan a is asked for again, and another plan is called a
    Then the plans are answered "plans"

  Scenario: A wave waits until the remaining workers can carry the load, and its plan stops if that lasts
    Given a service of w1, w2 and w3
    When plan a takes w1 and w2 while 5 of 6 slots are busy
    Then after 19 s no drain has begun, and after 24 s the plan is stopped: what stays would not carry the load
    And w1 is in use

  Scenario: What began stays at its worker, and what is to last goes to one that remains
    Given a service of w1 and w2, without keys
    When key 7's client began at w1, and a plan takes w1
    Then its next step goes to w1 at 1 s, and elsewhere after 3 s
    And of 200 effects none goes to w1 once it is in the plan, though it still gets lookups
    And once its drain has begun w1 gets nothing new
