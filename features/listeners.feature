Feature: A proxy listens before the rest of it is imported

  Scenario: A client that connects while the proxy starts waits and is served
    Given a settings file that names two listeners
    When the listeners are opened early and a client connects to the first
    Then the client is accepted once a server takes over the listener

  Scenario: With an address in use, or none, no listener is opened
    Given a settings file whose second listener's address is in use
    Then no listener stays open

  Scenario: At the first start no peer need be listening yet
    Then of two peers that were dialled in vain one is connected once it listens, and the other still dialled
