Feature: Two workers never hold leases on the same keys

  Scenario: Either controller moves and renews; calls and answers are lost, late and doubled; workers restart
    Then 60 minutes of that never give a key two holders

  Scenario: One slice, two workers, each call's steps in every order
    Then over 3500 states of 6 events are met, and over 2500 of 5 with two controllers, and no key has two holders
    And over 1000 states of 4 events after a release whose answer is late
    But another call's answer taken for one's own breaks it within 7, a late one that frees more within 4

  Scenario: The last grant on old quorum contact takes as long as it may, and its worker is never heard again
    Then its grant is over as its keys are freed, and would not be with a transit that is 0.1 s longer

  Scenario Outline: The guards are needed
    Then <what> is found out within <minutes> minutes

    Examples:
      | what                                           | minutes |
      | a grant without quorum contact                 | 40      |
      | a wait that is too short                       | 40      |
      | another call's answer taken for a release's    | 20      |
      | a late release that frees what it did not name | 20      |

  Scenario: A late call of an older instance makes the younger one at its address look gone
    Given a registry that hears of an instance, and then of the one before it at the same address
    Then the younger one's keys are freed only as another instance answers there

  Scenario: What a kept connection brings first is not taken for a release's answer
    Given a worker that is busy with a key, and answers the grant before twice
    When its grant and then its release are called
    Then the release counts once the worker's own answer came, where workers repeat ids and where they don't

  Scenario: A grant whose connection comes up too late does not leave
    Given a worker that takes no connection
    Then a grant on quorum contact of 0.05 s more is given up with it
