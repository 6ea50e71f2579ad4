Feature: An unhealthy worker is ejected for what proxies observe, not for what it says

  Scenario: A worker that fails a part of its requests, and its way back
    Given ten workers, and proxies that make 4 attempts each in a report
    When w3 fails 2 of 4 at d1 and d2 for 2 reports
    Then no worker is ejected
    When w3 fails 2 of 4 at d1 and d2 for 3 reports
    Then w3 is ejected, and for 4 s
    When w3 fails 2 of 4 at d1 and d2 for 4 reports
    Then w3 is ejected, and for 8 s

  Scenario: What one proxy alone observes, what all workers do, and nearly half of them at once
    Given ten workers, and proxies that make 4 attempts each in a report
    When w3 fails 4 of 4 at d1 for 8 reports
    Then no worker is ejected
    When every worker fails 2 of 4 at d1 and d2 for 8 reports
    Then no worker is ejected
    When w0, w1, w2 and w3 fail 4 of 4 at d1 and d2 for 8 reports
    Then two workers are ejected

  Scenario: Ejections planned by a controller that has missed another's change nothing
    Given a table in which w0 is ejected
    When one controller ejects w1 too, and another, which missed that, takes w0 back
    Then w0 and w1 are ejected
