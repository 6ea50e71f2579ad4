Feature: The emulator: its audit, its scenarios, and fleets of two releases

  Scenario: The audit tells each kind of difference between what clients saw and the effects that ran
    Given clients' attempts
      | order | attempt | effect | key | sent | ended | status | entries |
      | o1    | o1-1    | 1      | 7   | 1.0  | 1.1   | 200    | 1       |
      | o2    | o2-1    | 1      | 7   | 1.2  | 1.3   | 200    | 2       |
      | o3    | o3-1    | 1      | 8   | 1.0  | 1.1   | 503    |         |
      | o4    | o4-1    | 1      | 9   | 1.0  | 1.1   | 503    |         |
      | o4    | o4-2    | 1      | 9   | 1.2  | 1.3   | 200    | 1       |
      | o5    | o5-1    | 1      | 9   | 1.0  | 3.0   | 502    |         |
      | o6    | o6-1    | 0      | 7   | 1.25 | 1.4   | 200    | 1       |
      | o7    | o7-1    | 0      | 7   | 1.35 | 1.4   | 200    | 1       |
      | o8    | o8-1    | 1      | 5   | 1.0  | 1.1   | 200    | 1       |
    And effects that ran
      | order | attempt | key | worker | at   |
      | o1    | o1-1    | 7   | w1     | 1.05 |
      | o2    | o2-1    | 7   | w1     | 1.25 |
      | o3    | o3-1    | 8   | w1     | 1.05 |
      | o4    | o4-2    | 9   | w2     | 1.25 |
      | o5    | o5-1    | 9   | w2     | 2.5  |
      | o4    | o4-2    | 9   | w2     | 2.6  |
      | o9    | o9-1    | 4   | w1     | 1.0  |
    When worker w2 ended at 2
    Then the audit is "audit"

  Scenario: A faulty scenario is refused with one line
    Then "seconds = 'x'" is refused with "seconds: expected a number, found 'x'"
    And a fault at a machine that is not there is refused with its place
    And a lost disk of a proxy is refused, and a controller that only a replacement brings is known
    And a restart of a worker, and a worker of an earlier release, are refused with their places

  Scenario: Programs are started from a checkout of an earlier release by their earlier names
    Given a checkout of an earlier release
    When a proxy and a controller are started from it, and from this text
    Then the earlier release was called "desk" and "archive" in its folder, and this text "proxy" and "controller"

  Scenario: A fleet of two releases is not started without the earlier one
    Then a run of "rolling-upgrade.toml" and of "rolling-rollback.toml" without --previous ends with exit code 2
    And so does one whose --previous names a folder that is no checkout
    And each example scenario is accepted, and only these two need --previous

  Scenario: A restart ends a program in order, then starts it from the release named
    When the restarts of a machine to each release are played on processes that note what is done
    Then each is terminated, waited for, and started from its release
