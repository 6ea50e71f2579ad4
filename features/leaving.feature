Feature: Contact with a quorum after a freeze

  Scenario: After a freeze there is no word, so no grant leaves
    Given an archive of three
    When b gave back the stamp 9.8 at 10, with ballot 4 accepted
    Then at 14 its word on ballot 4 is over
    When b gave back the stamp 14.1 at 14.2, with ballot 4 accepted
    Then at 14.2 its word on ballot 4 holds until 15.1
