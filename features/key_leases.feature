Feature: Two workers never hold leases on the same key

  Scenario: Controllers move and renew leases; calls and answers are lost or late; some answers are sent twice; workers restart
    Then no key is leased to two workers in 60 simulations of one minute

  Scenario: All orders of the events of calls about one slice and two workers
    Then over 3500 states are reached with 6 events of one controller, and over 2500 with 5 events of two, and no key is leased to two workers
    And over 1000 states are reached with 4 events after a release whose answer is late, and no key is leased to two workers
    But without the check of attempt ids a key is leased to two workers within 7 events, and without the check of a late release's fencing token within 4

  Scenario: The last grant on an older table has the longest transit, and its worker answers no call
    Then the grant expires before its keys are freed, but after that if its transit takes 0.1 s longer

  Scenario Outline: Each guard is needed
    Then <fault> leases a key to two workers within <count> simulations of one minute

    Examples:
      | fault                                                | count |
      | a grant without quorum contact                       | 40    |
      | an expiry wait that is too short                     | 40    |
      | an answer to another call that counts for a release  | 20    |
      | a late release that frees a slice after a later move | 20    |

  Scenario: A delayed registration of an older instance marks the newer instance at its address as gone
    Given a registry that receives the registration of an instance before that of its predecessor
    Then the keys of the newer instance are freed only after another instance answers at its address

  Scenario: A second answer to an earlier call on a reused connection does not count for a release
    Given a worker that answers a grant twice, and answers the release only after its work on the key
    When a grant and then two releases are sent to it
    Then each release has the worker's answer to it, whether the worker repeats attempt ids or not

  Scenario: A grant is not sent if its connection opens after the quorum contact has expired
    Given a worker whose listener accepts no connection
    Then a grant whose quorum contact is valid for 0.05 s is abandoned when that time ends
