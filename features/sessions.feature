Feature: Controllers know each other by heartbeats

  Scenario: What changes seldom is sent once on a connection, and again on a new one
    Given a controller, one of three
    When it has sent b its details
    Then it sends b nothing again but the proxies
    When the connection to b stands anew
    Then it sends b its details again

  Scenario: Quorum contact rests on the echoes of a majority
    Given a controller, one of three
    Then at 10 it has no quorum contact on proposal 4
    When b echoes 9.8 at 10, with proposal 4 accepted
    Then at 10 its quorum contact on proposal 4 holds until 10.8
    When c echoes 9.9 at 10, with proposal 5 accepted
    Then at 10 its quorum contact on proposal 4 holds until 10.8
    And at 10 its quorum contact on proposal 5 holds until 10.9
    When b echoes 9.95 at 10.1, with proposal 5 accepted
    Then at 10.1 it has no quorum contact on proposal 4

  Scenario: After a freeze there is no quorum contact, so no grant leaves
    Given a controller, one of three
    When b echoes 9.8 at 10, with proposal 4 accepted
    Then at 14 its quorum contact on proposal 4 is over
    When b echoes 14.1 at 14.2, with proposal 4 accepted
    Then at 14.2 its quorum contact on proposal 4 holds until 15.1

  Scenario: Of two instances at one address the one that was heard last stands, whoever is told of it first
    Then an instance that ended while its controller was partitioned does not end the one that came after it
