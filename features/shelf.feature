Feature: What lies on the shelf outlives any end

  Scenario: Power cut at any file call, unsynced writes kept, lost and torn, calls refused
    Then 400 disks lose nothing that was acknowledged over power cuts, torn writes and refusals

  Scenario: The switch to the write-ahead log needs its folder synced
    Then without the sync of the folder 20 disks lose something

  Scenario: A disc that hangs holds back what rests on it, and its archive leaves the proposing to others
    Given an archive whose disc hangs as it syncs
    When it is to promise a ballot at 10
    Then nothing of it goes out, and at 10.2 it may act for the core, at 10.31 not
    When the disc answers again
    Then the promise goes out, lies there after a power cut, and the archive may act again

  Scenario: The power goes while a disc hangs
    Given an archive whose disc hangs as it syncs
    When it is to promise a ballot at 10
    And the power is cut
    Then nothing of it went out, and what lay there before lies there still
