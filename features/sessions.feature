Feature: Controllers exchange heartbeats, which give them quorum contact

  Scenario: Details that rarely change are sent once on a connection, and again on a new connection
    Given one of three controllers
    When it has sent b its details
    Then after a change of its proxies it sends b only the proxies
    When a new connection to b is established
    Then it sends b its details again

  Scenario: Quorum contact depends on the echoes of a majority
    Given one of three controllers
    Then at 10 it has no quorum contact for proposal 4
    When at 10 a heartbeat of b echoes time 9.8 and reports proposal 4 accepted
    Then at 10 its quorum contact for proposal 4 is valid until 10.8
    When at 10 a heartbeat of c echoes time 9.9 and reports proposal 5 accepted
    Then at 10 its quorum contact for proposal 4 is valid until 10.8
    And at 10 its quorum contact for proposal 5 is valid until 10.9
    When at 10.1 a heartbeat of b echoes time 9.95 and reports proposal 5 accepted
    Then at 10.1 it has no quorum contact for proposal 4

  Scenario: Quorum contact expires during a freeze, so that no grant rests on it, and a newer echo renews it
    Given one of three controllers
    When at 10 a heartbeat of b echoes time 9.8 and reports proposal 4 accepted
    Then at 14 its quorum contact for proposal 4 has expired
    When at 14.2 a heartbeat of b echoes time 14.1 and reports proposal 4 accepted
    Then at 14.2 its quorum contact for proposal 4 is valid until 15.1

  Scenario: Of two instances at one address, the one with the later heartbeat is kept, in either order of arrival
    Then both registries keep the newer instance after controllers exchange registrations
