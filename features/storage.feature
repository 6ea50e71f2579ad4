Feature: What a controller has stored outlives any end

  Scenario: Power cut at any file call, unsynced writes kept, lost and torn, calls refused
    Then 400 disks hold exactly one state that was written, none before what was acknowledged

  Scenario: Power cut at any file call while schema version 1 is upgraded
    Then 200 disks of schema version 1 hold exactly one state that was written, none before what was acknowledged

  Scenario Outline: What keeps it so, taken out, is found out
    Then with "<fault>" one of <count> disks shows it

    Examples:
      | fault                                    | count |
      | neither a synced folder nor a first page | 20    |
      | syncs left out                           | 5     |
      | a refused value taken for stored         | 60    |
      | a difference to another value taken      | 5     |
      | an upgrade step by step                  | 20    |
      | a row put again at the end               | 5     |
      | parts left below what took their place   | 5     |
      | equal in Python taken for the same       | 20    |

  Scenario: A difference leads to the very value: types and the order of keys too
    Then 2000 differences, sent as JSON, lead to the value they were made for

  Scenario: Thousands of commits leave no more than what lives, and what goes is given back
    Given a database with a table of 1000 slices
    When 3000 moves are committed, with a service emptied and filled now and then
    Then the database holds at most 3 times the table's text and 64 KiB, and the log 4.5 MB
    And a start finds the table as it was left
    When a text of 6 MB comes and goes, then all but ten slices, and 400 moves are committed
    Then the database holds at most 64 KiB, and the log 4.5 MB

  Scenario: A value that is no JSON is refused like a full disk, and the writer goes on
    Given a database with a table of 10 slices
    When a value that is no JSON is committed amid others
    Then it is refused, and a start finds the table as it was left

  Scenario: A newer schema version is refused with one line, and left as it is
    Given a database with a table of 10 slices
    When a later program has made schema version 4 of it
    Then it is refused with one line that names schema version 4, and no byte of it has changed

  Scenario: A folder that is new outlives a power cut
    When a database is opened three folders deep in a folder that is there
    Then each new folder was synced into the one above before the database was made

  Scenario: The commands read both schema versions
    Then check, show and export tell the same of a disk of schema version 1 and of what a start makes of it

  Scenario: A disk that hangs holds back what rests on it, and its controller leaves proposing to others
    Given a controller whose disk hangs as it syncs
    When it is to promise a proposal at 10
    Then nothing of it goes out, and at 10.2 it may act for the controllers, at 10.31 not
    When the disk answers again
    Then the promise goes out, lies there after a power cut, and the controller may act again

  Scenario: The power goes while a disk hangs
    Given a controller whose disk hangs as it syncs
    When it is to promise a proposal at 10
    And the power is cut
    Then nothing of it went out, and what lay there before lies there still
