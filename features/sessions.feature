Feature: Archives know each other by pulses

  Scenario: What changes seldom is said once a link, and again on a new one
    Given an archive of three
    When it has told b who votes
    Then it tells b nothing again but the desks
    When the link to b stands anew
    Then it tells b who votes again

  Scenario: A word rests on the stamps of a majority
    Given an archive of three
    Then at 10 its word on ballot 4 holds until 0
    When b gave back the stamp 9.8 at 10, with ballot 4 accepted
    Then at 10 its word on ballot 4 holds until 10.8
    When c gave back the stamp 9.9 at 10, with ballot 5 accepted
    Then at 10 its word on ballot 4 holds until 10.8
    And at 10 its word on ballot 5 holds until 10.9
    When b gave back the stamp 9.95 at 10.1, with ballot 5 accepted
    Then at 10.1 its word on ballot 4 holds until 0

  Scenario: Of two lives at one address the one that was heard last stands, whoever is told of it first
    Then a life that ended while its archive was cut off does not end the one that came after it
