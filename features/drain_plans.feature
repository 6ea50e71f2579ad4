Feature: No proxy has work in flight at a worker that a drain plan has taken out of service

  Scenario: Plans and waves with partitions, restarts, stopped and cancelled plans
    Then no connected proxy has work at a worker that is out of service in 40 simulations of 120 s

  Scenario: Each guard is needed
    Then without the confirmations of the proxies a worker is out of service too soon within 40 simulations
    And without the check for work in flight a worker is out of service too soon within 40 simulations
    And without the check of a step's version a worker is out of service too soon within 10 simulations

  Scenario: A plan that cannot start is rejected with the reason
    Given a service of w1, w2 and w3
    When plan a drains w1 and w2, and plan b drains w2
    And plan c drains w3, plan a is started again, another plan a drains w1, and plan d drains no worker
    Then the answers to the plans are those of "plans"

  Scenario: A wave waits for enough capacity of the remaining workers, and its plan is stopped after a time limit
    Given a service of w1, w2 and w3
    When plan a drains w1 and w2 while 5 of 6 slots are busy
    Then after 19 s no drain has begun, and after 24 s the plan is stopped: what stays would not carry the load
    And w1 stays in use

  Scenario: Keys bound to a worker in a plan stay there, and new non-idempotent requests go to other workers
    Given a service of w1 and w2, without keys
    When key 7 is bound to w1, and a plan drains w1
    Then key 7 is bound to w1 at 1 s, and no longer after 3 s
    And w1 is chosen for none of 200 non-idempotent requests, but for idempotent ones
    And w1 is chosen for no request once its drain is in progress
