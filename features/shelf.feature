Feature: What lies on the shelf outlives any end

  Scenario: Power cut at any file call, unsynced writes kept, lost and torn, calls refused
    Then 400 disks lose nothing that was acknowledged over power cuts, torn writes and refusals

  Scenario: The switch to the write-ahead log needs its folder synced
    Then without the sync of the folder 20 disks lose something
