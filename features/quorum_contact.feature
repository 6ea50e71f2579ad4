Feature: Quorum contact before anything is acknowledged, rejected or granted

  Whole controllers, with and without a spare, and proxies on a simulated clock. The rules that are checked
  throughout: nobody answers a call but with 503 who has had no quorum contact, there and back, for the time that
  contact holds and a call's; a read is not older than what was acknowledged before it; a deregistration that was
  acknowledged is held by a majority, known to every current controller once contact has run out and to every
  connected proxy within DrainS; who is current or newly ready misses nothing; no grant leaves on old contact, no
  two workers hold a key; no proxy goes back.

  Scenario Outline: Isolated for twenty seconds, with configurations, reads and deregistrations meanwhile
    Then 1 runs with <isolated> of <count> isolated, <direction>, keep the rules
    Examples:
      | isolated | count | direction |
      | a        | 3     | both      |
      | a        | 3     | in        |
      | a        | 3     | out       |
      | a        | 3     | frozen    |
      | ab       | 5     | both      |
      | ab       | 5     | in        |
      | ab       | 5     | out       |
      | ab       | 5     | frozen    |

  Scenario: Fault upon fault
    Then 1 runs of 10 s of random faults among five controllers and 1 among three keep the rules

  Scenario Outline: Directed runs, and each guard taken out
    Then 1 runs of "<run>" keep the rules
    And without <guard> a run of "<run>" breaks a rule within <seeds> seeds
    Examples:
      | run                                   | guard                                               | seeds |
      | minority partition                    | the majority that holds a deregistration            | 4     |
      | minority partition                    | quorum contact before a worker's call is answered   | 4     |
      | minority partition                    | quorum contact of a current controller              | 1     |
      | deregistration across a broken pair   | forwarding of deregistrations between controllers   | 4     |
      | deregistration of an unknown worker   | the registration of a worker that nobody knew       | 1     |
      | restart of all after a deregistration | proxies that hand them over again, and the disks    | 1     |
      | all dark after a deregistration       | deregistrations on the controllers' disks           | 1     |
      | freeze amid reads                     | the look at the clock after a proposal              | 4     |
      | freeze before grants                  | the look at quorum contact as a call leaves         | 1     |
      | freeze before releases                | the look at quorum contact as a call leaves         | 1     |
      | death unheard amid a restart of all   | the look for workers that no controller knows       | 1     |
      | unlearned acceptance                  | the look at what the controller itself has accepted | 4     |
      | missed configuration                  | quorum contact on the configuration                 | 1     |
      | proxy behind slow connections         | the question before a proxy is ready                | 1     |

  Scenario: An answer that took long makes no proxy ready
    Given a proxy that has all, from a controller that is current
    When that answers what was asked 1.8 s ago
    Then the proxy is not ready
    When that answers what was asked 0.2 s ago, with a newer table
    Then the proxy is not ready
    When that answers what was asked 0.2 s ago
    Then the proxy is ready

  Scenario: What a coordinator began changes nothing once its quorum contact is over
    Given three controllers with a table
    When one proposes a move, and its quorum contact ends
    Then the table stands as it was
    When one proposes a move
    Then the table has changed

  Scenario: A worker's last call stands against an older one, whatever was known of it
    Given a registry that has heard only the last call of w1
    When it hears an older call of w1 with its address
    Then w1 is gone there, with its address
    And its keys are not taken to be free

  Scenario: An acknowledgement from another epoch holds no deregistration
    Given a deregistration that is asked about among three voters of epoch 4
    When b answers as a voter of epoch 3, and c as none
    Then it is not confirmed in epoch 4
    When c answers as a voter of epoch 4
    Then it is confirmed in epoch 4
