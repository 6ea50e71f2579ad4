Feature: What lies on the shelf outlives any end

  Scenario: Power cut at any file call, unsynced writes kept, lost and torn, calls refused
    Then 400 disks hold exactly one state that was written, none before what was acknowledged

  Scenario: Power cut at any file call while form 1 is turned into form 2
    Then 200 disks of form 1 hold exactly one state that was written, none before what was acknowledged

  Scenario Outline: What keeps it so, taken out, is found out
    Then with "<fault>" one of <count> disks shows it

    Examples:
      | fault                                    | count |
      | neither a synced folder nor a first page | 20    |
      | syncs left out                           | 5     |
      | a refused value taken for stored         | 60    |
      | a difference to another value taken      | 5     |
      | form 1 turned step by step               | 20    |
      | a row put again at the end               | 5     |
      | parts left below what took their place   | 5     |
      | equal in Python taken for the same       | 20    |

  Scenario: A difference leads to the very value: types and the order of keys too
    Then 2000 differences, sent as JSON, lead to the value they were made for

  Scenario: Thousands of commits leave no more than what lives, and what goes is given back
    Given a shelf with a table of 1000 slices
    When 3000 moves are committed, with a service emptied and filled now and then
    Then the base holds at most 3 times the table's text and 64 KiB, and the log 4.5 MB
    And a start finds the table as it was left
    When a text of 6 MB comes and goes, then all but ten slices, and 400 moves are committed
    Then the base holds at most 64 KiB, and the log 4.5 MB

  Scenario: A value that is no JSON is refused like a full disk, and the writer goes on
    Given a shelf with a table of 10 slices
    When a value that is no JSON is committed amid others
    Then it is refused, and a start finds the table as it was left

  Scenario: A newer form is refused with one line, and left as it is
    Given a shelf with a table of 10 slices
    When a later program has made form 3 of it
    Then it is refused with one line that names form 3, and no byte of it has changed

  Scenario: A folder that is new outlives a power cut
    When a shelf is opened three folders deep in a folder that is there
    Then each new folder was synced into the one above before the base was made

  Scenario: The commands read both forms
    Then check, show and export tell the same of a disk of form 1 and of what a start makes of it

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
