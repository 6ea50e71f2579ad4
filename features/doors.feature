Feature: A desk's doors are open before the rest of it is imported

  Scenario: A client that comes while the desk starts waits and is answered
    Given a settings file that names two doors
    When the doors are opened early and a client connects to the first
    Then the client is taken once a server takes up the door

  Scenario: Settings that name an address that is taken, or no address, open nothing
    Given a settings file whose second door is taken
    Then no door stays open

  Scenario: At the first start nobody need be listening yet
    Then of two managers that were dialled in vain one is linked once it listens, and the other still dialled
