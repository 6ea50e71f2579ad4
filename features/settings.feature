Feature: The settings file is read as the users' pages describe it

  Scenario: Figures, true and false, what may be lost, the parts of the rules
    Given the settings of a machine
    When they say
      | what                  | lines                                            |
      | as on the page        |                                                  |
      | fractions, odd names  | Bounds = ["AckS=6","DrainS=2.75","NewS=7","New=true","New=x"] |
      | true for a figure     | Bounds = ["RetrySlack=true","ThawSlackS = 0.5"]  |
      | no figure             | Bounds = ["AckS=soon"]                           |
      | nothing               | Bounds = ["AckS"]                                |
      | less than nothing     | Bounds = ["AckS=-1"]                             |
      | no end                | Bounds = ["AckS=inf"]                            |
      | no number             | Bounds = ["AckS=nan"]                            |
      | parts not known       | ContractList = ["base","tides"]                  |
      | parts no list         | ContractList = "base"                            |
      | zones may go          | Tolerance = {Zones = 1}                          |
      | none may go           | Tolerance = {Machines = 0}                       |
      | fewer than none       | Tolerance = {Regions = -1}                       |
      | true for a count      | Tolerance = {Machines = true}                    |
      | not counted, new field | Counted = false; Mood = "calm"                  |
      | no seeds              | SeedNodes = []                                   |
      | limits                | Limits = {MemoryMb = 300, MaxFds = 4100, CpuShare = 0.86, Cores = 1, LinkMbps = 1000.0, DiskMb = 0} |
    Then what is read is "settings"

  Scenario: A start says which parts are in force, and once what it does not know
    Given the settings of a machine
    When a program starts by "ContractList = ["base","tides"]"
    Then its log holds "started" with the parts base and tides, then "settings not known" with tides

  Scenario: A program whose address is not named does not start
    Given the settings of a machine
    Then "archive" by "BindMap = {Front = "10.0.0.4:8548"}" ends with 2 and "BindMap.Control: expected host:port, found nothing"
    And "desk" by "BindMap = {Front = "10.0.0.4:8548"}" ends with 2 and "BindMap.ReadyProbe: expected host:port, found nothing"
    And "desk" by "Ip = 7" ends with 2 and "Ip: expected a text, found 7"

  Scenario: The file names other managers now
    Given the settings of a machine
    When a program that runs by them finds the seeds 10.0.0.7 and 10.0.0.8
    Then it dials 10.0.0.7 and 10.0.0.8
    When it finds a file that can't be read
    Then nobody new is dialled, and the log says why

  Scenario: Who votes first leaves a majority after whatever may be lost
    Then in 2000 draws of archives, zones and losses a majority is left wherever that can be
    And no voter is a machine that doesn't count while others do

  Scenario: The founders wait for a seed that is only starting, but not for ever
    Given the seeds a, b and c, of which c has said nothing
    Then nobody is chosen yet, and once it is late a and b are
