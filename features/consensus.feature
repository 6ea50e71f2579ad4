Feature: Every version is agreed by a majority, and nothing acknowledged is lost

  Scenario: Two changes on one parent meet in one slot
    Given three controllers from seed 1
    When the configuration "first" r1 on r0 is put at a
    And all is delivered
    And the configuration "left" r4 on r1 is put at a
    And the configuration "right" r5 on r1 is put at b
    And all is delivered
    Then "first" was acknowledged
    And in every order of the messages with each one lost in turn, one is taken and one refused

  Scenario: The same configuration again is taken, from any controller, also once others followed
    Given three controllers from seed 2
    When the configuration "first" r1 on r0 is put at a
    And all is delivered
    And the configuration "second" r2 on r1 is put at b
    And all is delivered
    And the configuration "first" r1 on r0 is put at c
    And all is delivered
    Then "first" was acknowledged
    And "second" is in force as r2

  Scenario: A value that only a minority holds is not lost, and is not refused
    Given three controllers from seed 3
    When the configuration "first" r1 on r0 is put at a
    And only b accepts it, and its proposer loses power
    And the configuration "other" r2 on r0 is put at c
    And all is delivered
    Then "other" was refused
    And "first" is in force as r1

  Scenario: A machine that lost its disk is a new member, and votes once a majority has given it its seat
    Given three controllers from seed 4
    When the configuration "first" r1 on r0 is put at a
    And all is delivered
    And a is away
    And b loses its disk and comes back
    Then b does not vote
    When a is back
    And all is delivered
    Then "first" is in force as r1

  Scenario: A voter that was away keeps what was chosen meanwhile
    Then a voter that was away holds on its disk what was chosen meanwhile; one that only learns it does not

  Scenario: A disk that came back empty to a seat of any disk waits until a set of voters names it
    Then an empty disk does not go on in a seat of any disk; one to which every seat there is its own does

  Scenario: Storms
    Given three controllers from seed 5
    Then 300 storms of stops, losses and lost disks keep what was acknowledged
    And 50 storms from disks that knew no epochs do so too
    And "the name of a disk that was lost" is found out within 300 storms
    And "a seat of any disk, where no disk may go on" is found out within 5 storms
    And "a seat of any disk, where an empty disk may go on" is found out within 150 storms
