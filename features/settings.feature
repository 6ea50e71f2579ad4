Feature: The settings file is read as the users' pages describe it

  Scenario: Bounds, limits, tolerance, the parts of the rules
    Then these settings are parsed as in the approved "settings"
      | what                   | lines                                            |
      | as on the page         |                                                  |
      | fractions, odd names   | Bounds = ["AckS=6","DrainS=2.75","NewS=7","New=true","New=x"] |
      | true for a figure      | Bounds = ["RetrySlack=true","ThawSlackS = 0.5"]  |
      | no figure              | Bounds = ["AckS=soon"]                           |
      | less than nothing      | Bounds = ["AckS=-1"]                             |
      | no end                 | Bounds = ["AckS=inf"]                            |
      | no number              | Bounds = ["AckS=nan"]                            |
      | parts not known        | ContractList = ["base","tides"]                  |
      | parts no list          | ContractList = "base"                            |
      | zones may go           | Tolerance = {Zones = 1}                          |
      | fewer than none        | Tolerance = {Regions = -1}                       |
      | not counted, new field | Counted = false; Mood = "calm"                   |
      | limits, no seeds       | Limits = {MemoryMb = 300, CpuShare = 0.86}; SeedNodes = [] |
    And a program logs once, as it starts, which parts are in force and which it does not know

  Scenario: A program does not start without its listeners' addresses, or with a faulty file
    Then "controller" started with "BindMap = {}" ends with "BindMap.Control: expected host:port, found nothing"
    And "proxy" started with "BindMap = {Front = "10.0.0.4:80"}" ends with "BindMap.ReadyProbe: expected host:port, found nothing"
    And "proxy" started with "Ip = 7" ends with "Ip: expected a text, found 7"

  Scenario: When the file is read again its new seeds are dialled; a faulty file is logged and names none
    Then rereading "SeedNodes = ["10.0.0.7:8544"]" gives the seed 10.0.0.7, and rereading "SeedNodes = [" none
