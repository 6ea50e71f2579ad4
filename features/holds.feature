Feature: Two workers never hold the same keys

  Scenario: Either archive moves and renews, cut off at times; releases go unanswered
    Then 40 minutes of moves, cuts and lost calls never give a key two holders

  Scenario: The guards are needed
    Then a grant without a word is found out within 40 minutes
    And a wait that is too short is found out within 40 minutes
