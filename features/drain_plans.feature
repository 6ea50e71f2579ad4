Feature: A backend that is taken out of service has no work when it goes

  Scenario: Plans, waves, cuts, restarts and calls back in any order
    Then in 40 plays of 120 s no desk that is there has work at a worker that is out

  Scenario: Each guard is needed
    Then without each desk's word a worker is out too soon within 40 plays
    And without the look at what is under way a worker is out too soon within 40 plays
    And without the version that a step rests on a worker is out too soon within 10 plays

  Scenario: What can't be planned is refused and says why
    Given a service of w1, w2 and w3
    When plan a takes w1 and w2, and plan b takes w2
    And plan c takes w3, plan a is asked for again, and another plan is called a
    Then the plans are answered "plans"

  Scenario: A wave waits until what stays carries the load, and its plan stops if that lasts
    Given a service of w1, w2 and w3
    When plan a takes w1 and w2 while 5 of 6 slots are busy
    Then after 19 s none of them closes, and after 24 s the plan is stopped: what stays would not carry the load
    And w1 is in use

  Scenario: What began stays where it began, and what is to last goes to one that stays
    Given a service of w1 and w2, without keys
    When key 7's client began at w1, and a plan takes w1
    Then its next step goes to w1 at 1 s, and elsewhere after 3 s
    And of 200 effects none goes to w1 once it is in the plan, though it still gets lookups
    And once it closes w1 gets nothing new
