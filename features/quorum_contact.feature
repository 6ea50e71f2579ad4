Feature: A controller responds, rejects and grants only with quorum contact

  Whole controllers and proxies run on a simulated clock. In some runs, one controller is a spare without a vote. Every
  run checks the rules that tests/simulation/fleet/rules.py lists at each step and at each response, and it fails at the
  first violation.

  Scenario Outline: The rules hold while a minority of controllers is isolated for twenty seconds
    Each letter names a controller. A partition blocks messages to the isolated controllers (in), from them (out) or
    in both directions (both), or they are frozen.

    Then the rules hold with controllers <isolated> of <count> isolated (<isolation>) for all seeds below 1
    Examples:
      | isolated | count | isolation |
      | a        | 3     | both      |
      | a        | 3     | in        |
      | a        | 3     | out       |
      | a        | 3     | frozen    |
      | ab       | 5     | both      |
      | ab       | 5     | in        |
      | ab       | 5     | out       |
      | ab       | 5     | frozen    |

  Scenario: The rules hold under random faults
    Then the rules hold under 10 s of random faults for all seeds below 1 with five controllers and below 1 with three

  Scenario Outline: The rules hold in a directed run, and a rule is broken without the guard
    Then the rules hold in "<run>" for all seeds below 1
    And without <guard> a rule is broken in "<run>" for a seed below <seeds>
    Examples:
      | run                                               | guard                                                  | seeds |
      | minority partition                                | the majority check for deregistrations                 | 4     |
      | minority partition                                | the quorum contact check for worker calls              | 4     |
      | minority partition                                | the quorum contact check for current controllers       | 1     |
      | deregistration with a broken link                 | forwarding of deregistrations between controllers      | 4     |
      | deregistration of an unknown worker               | deregistration of unknown workers                      | 1     |
      | restart of all controllers after a deregistration | deregistrations on disk and from proxies               | 1     |
      | power loss after a deregistration                 | deregistrations on disk                                | 1     |
      | freeze during reads                               | the clock check after a proposal                       | 4     |
      | freeze before grants                              | the quorum contact check before a lease call           | 1     |
      | freeze before releases                            | the quorum contact check before a lease call           | 1     |
      | worker crash during a restart of all controllers  | the check for workers unknown to all controllers       | 1     |
      | chosen proposal not learned                       | the check of the controller's own acceptances          | 4     |
      | missed configuration                              | quorum contact for the configuration                   | 1     |
      | proxy behind slow connections                     | the confirmation before a proxy is ready               | 1     |
      | workers behind a partition that refuses           | the wait for leases of workers that refuse connections | 2     |
      | random faults with partitions that refuse         | the wait for leases of workers that refuse connections | 2     |
      | random faults with partitions that refuse         | the claims of other controllers to send grants         | 3     |
      | workers behind a partition that refuses           | the record of grants in flight                         | 1     |

  Scenario: Only a recent confirmation without newer versions makes a proxy ready
    Given a proxy that has received everything from a current controller
    When the controller confirms a request sent 1.8 s ago
    Then the proxy is not ready
    When the controller confirms a request sent 0.2 s ago, with a newer table
    Then the proxy is not ready
    When the controller confirms a request sent 0.2 s ago
    Then the proxy is ready

  Scenario: A proposed move changes nothing if the quorum contact expires before the change is applied
    Given three controllers with a table
    When a controller proposes a move, and its quorum contact expires
    Then the table is unchanged
    When a controller proposes a move
    Then the table is changed

  Scenario: A worker's last call takes precedence over an older call that arrives later
    Given a registry that has received only the last call of w1
    When it receives an older call of w1 with its address
    Then w1 is registered as gone, with its address
    And its keys do not become free

  Scenario: Acknowledgements from other epochs do not confirm a deregistration
    Given a deregistration in flight among three voters of epoch 4
    When b acknowledges it as a voter of epoch 3, and c as a non-voter
    Then it is not confirmed in epoch 4
    When c acknowledges it as a voter of epoch 4
    Then it is confirmed in epoch 4
