Feature: The settings file is read as the users' pages describe it

  Scenario: Figures, true and false, what may be lost, the parts of the rules
    Then settings that say so are read as "settings"
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
    And a program tells once, as it starts, which parts are in force and which it does not know

  Scenario: A program whose address is not named, or whose file is faulty, does not start
    Then "controller" by "BindMap = {}" ends with "BindMap.Control: expected host:port, found nothing"
    And "proxy" by "BindMap = {Front = "10.0.0.4:80"}" ends with "BindMap.ReadyProbe: expected host:port, found nothing"
    And "proxy" by "Ip = 7" ends with "Ip: expected a text, found 7"

  Scenario: A file that names other managers has them dialled; a faulty one has nobody, and is told
    Then a program that runs dials 10.0.0.7 once "SeedNodes = ["10.0.0.7:8544"]", and nobody once "SeedNodes = ["

  Scenario: Who votes first leaves a majority after whatever may be lost
    Then in 2000 draws of archives, zones and losses a majority is left wherever that can be
    And first voters wait for a seed that has said nothing yet, but not for ever
