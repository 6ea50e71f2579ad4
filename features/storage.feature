Feature: Controller storage survives power cuts, failing disks and upgrades

  Scenario: A start after power cuts and failed file calls finds one written state, no older than the acknowledged one
    Then 400 disks hold exactly one written state, none older than the last acknowledged one

  Scenario: A power cut during the upgrade of schema version 1 loses no acknowledged state
    Then 200 disks of schema version 1 hold exactly one written state, none older than the last acknowledged one

  Scenario Outline: The simulation detects a fault in the storage
    Then with the fault "<fault>" at least one of <count> disks loses an acknowledged state or holds an unwritten one

    Examples:
      | fault                                 | count |
      | folder not synced and auto vacuum off | 20    |
      | no syncs                              | 5     |
      | failed write recorded as stored       | 60    |
      | difference from another value used    | 5     |
      | upgrade without a transaction         | 20    |
      | overwritten row moved to the end      | 5     |
      | rows below a replaced map not deleted | 5     |
      | values compared by Python equality    | 20    |

  Scenario: A difference reproduces the new value with its types and the order of its keys
    Then 2000 differences, sent as JSON, reproduce the values that they were computed from

  Scenario: The files stay small over thousands of commits and shrink with the content
    Given a database with a table of 1000 slices
    When 3000 moves are committed, and every 50 moves a service is emptied and refilled
    Then the database has at most 3 times the size of the table plus 64 KiB, and the log at most 4.5 MB
    And a start finds the table as it was committed
    When a text of 6 MB is added and removed, all but ten slices are removed, and 400 moves are committed
    Then the database has at most 64 KiB, and the log at most 4.5 MB

  Scenario: A value that is not JSON is refused, and the writer commits the next value
    Given a database with a table of 10 slices
    When a value that is not JSON is committed, and then one move
    Then the commit is refused, and a start finds the table as it was committed

  Scenario: A database of a newer schema version is refused and not changed
    Given a database with a table of 10 slices
    When a later program upgrades it to schema version 4
    Then a start refuses it with one line that names schema version 4, and its files are unchanged

  Scenario: New folders on the path of the database are durable
    When a database is opened three missing folders below an existing folder
    Then each new folder was synced into its parent before the database was created

  Scenario: The storage commands read schema version 1 and the newest version
    Then check, show and export print the same before and after a start upgrades a disk of schema version 1

  Scenario: A hanging disk delays the messages that depend on it and makes its controller stop proposing
    Given a controller whose disk hangs during a sync
    When it writes a promise at 10
    Then no message is sent, and the controller is current at 10.2 but not at 10.31
    When the disk responds again
    Then the promise is sent, survives a power cut, and the controller is current again

  Scenario: A power cut while the disk hangs leaves the content from before the write
    Given a controller whose disk hangs during a sync
    When it writes a promise at 10
    And the power is cut
    Then no message was sent, and the content from before the write is still stored
