Feature: A proxy opens its listeners before the rest of it is imported

  Scenario: A client that connects during the start waits in the backlog and is accepted
    Given a settings file that names two listeners
    When the listeners are opened early and a client connects to the first
    Then the client is accepted once a server uses the listener

  Scenario: No listener is opened if one of the addresses is in use
    Given a settings file whose second listener's address is in use
    Then no listener is open

  Scenario: A peer that does not listen yet is dialled again
    Then of two peers whose first dial failed, the one that listens is connected and the other is still dialled
