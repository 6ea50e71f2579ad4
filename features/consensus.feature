Feature: A majority agrees on every version, and no acknowledged configuration is lost

  Scenario: At most one of two concurrent configurations with the same parent is chosen
    Given three replicas with seed 1
    When the configuration "first" r1 after r0 is put at replica a
    And all replicas run without faults
    And the configuration "left" r4 after r1 is put at replica a
    And the configuration "right" r5 after r1 is put at replica b
    And all replicas run without faults
    Then the configuration "first" was acknowledged
    And at most one of two concurrent configurations is chosen, whichever message is lost

  Scenario: A repeated configuration is acknowledged at any replica, even after another one has followed it
    Given three replicas with seed 2
    When the configuration "first" r1 after r0 is put at replica a
    And all replicas run without faults
    And the configuration "second" r2 after r1 is put at replica b
    And all replicas run without faults
    And the configuration "first" r1 after r0 is put at replica c
    And all replicas run without faults
    Then the configuration "first" was acknowledged
    And version r2 is "second"

  Scenario: A value that only a minority accepted is chosen, and a conflicting one is rejected
    Given three replicas with seed 3
    When the configuration "first" r1 after r0 is put at replica a
    And only replica b accepts it, and its proposer stops
    And the configuration "other" r2 after r0 is put at replica c
    And all replicas run without faults
    Then the configuration "other" was rejected
    And version r1 is "first"

  Scenario: A replica with an empty disk votes only once a majority has given its seat to the new disk
    Given three replicas with seed 4
    When the configuration "first" r1 after r0 is put at replica a
    And all replicas run without faults
    And replica a stops
    And replica b restarts with an empty disk
    Then replica b does not vote
    When replica a starts again
    And all replicas run without faults
    Then version r1 is "first"

  Scenario: A voter stores the value that was chosen while it was stopped
    Then a voter stores what was chosen while it was stopped, and the check finds a replica that does not

  Scenario: An empty disk does not join through a seat open to any disk
    Then an empty disk does not join through a seat open to any disk, and the check finds a replica that does

  Scenario: Random runs lose no acknowledged configuration, and detect each of three faults
    Given three replicas with seed 5
    Then 300 random runs with stops, lost messages and lost disks lose no acknowledged configuration
    And 50 random runs that start with seats open to any disk lose no acknowledged configuration
    And the fault "an empty disk reuses the name of the lost disk" breaks a rule within 300 random runs
    And the fault "no disk joins through a seat open to any disk" breaks a rule within 5 random runs
    And the fault "an empty disk joins through a seat open to any disk" breaks a rule within 150 random runs
