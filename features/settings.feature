Feature: The settings file is parsed as documented

  Scenario: Bounds, limits, tolerance and the parts of the rules are parsed, or rejected if they are invalid
    Then these settings are parsed as in the approved "settings"
      | case                     | lines                                                         |
      | documented example       |                                                               |
      | fraction, unknown names  | Bounds = ["AckS=6","DrainS=2.75","NewS=7","New=true","New=x"] |
      | true as a value          | Bounds = ["RetrySlack=true","ThawSlackS = 0.5"]               |
      | not a number             | Bounds = ["AckS=soon"]                                        |
      | negative bound           | Bounds = ["AckS=-1"]                                          |
      | infinite bound           | Bounds = ["AckS=inf"]                                         |
      | nan as a bound           | Bounds = ["AckS=nan"]                                         |
      | unsupported part         | ContractList = ["base","tides"]                               |
      | parts not a list         | ContractList = "base"                                         |
      | zone tolerated           | Tolerance = {Zones = 1}                                       |
      | negative tolerance       | Tolerance = {Regions = -1}                                    |
      | uncounted, unknown field | Counted = false; Mood = "calm"                                |
      | limits, no seeds         | Limits = {MemoryMb = 300, CpuShare = 0.86}; SeedNodes = []    |
    And a program logs at its start which parts are in force and which it does not support

  Scenario: A program does not start if a listener has no address or the file is invalid
    Then "controller" started with "BindMap = {}" ends with "BindMap.Control: expected host:port, found nothing"
    And "proxy" started with "BindMap = {Front = "10.0.0.4:80"}" ends with "BindMap.ReadyProbe: expected host:port, found nothing"
    And "proxy" started with "Ip = 7" ends with "Ip: expected a text, found 7"

  Scenario: Rereading the file returns its new seeds, or none and a log line if the file is invalid
    Then rereading "SeedNodes = ["10.0.0.7:8544"]" returns the seed 10.0.0.7, and rereading "SeedNodes = [" returns none
