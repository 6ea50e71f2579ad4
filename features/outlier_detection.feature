Feature: A worker is ejected if several proxies observe that it fails

  Scenario: A worker that fails half of its requests at two proxies is ejected, and for twice as long the second time
    Given ten workers, and three proxies that make 4 attempts at each worker per report
    When w3 fails 2 of 4 attempts at d1 and d2 in 2 reports
    Then no worker is ejected
    When w3 fails 2 of 4 attempts at d1 and d2 in 3 reports
    Then w3 is ejected for 4 s
    When w3 fails 2 of 4 attempts at d1 and d2 in 4 reports
    Then w3 is ejected for 8 s

  Scenario: Failures at one proxy or at all workers eject no worker, and at most a fifth of the workers is ejected
    Given ten workers, and three proxies that make 4 attempts at each worker per report
    When w3 fails 4 of 4 attempts at d1 in 8 reports
    Then no worker is ejected
    When every worker fails 2 of 4 attempts at d1 and d2 in 8 reports
    Then no worker is ejected
    When w0, w1, w2 and w3 fail 4 of 4 attempts at d1 and d2 in 8 reports
    Then two workers are ejected

  Scenario: Ejections planned from an outdated table change nothing
    Given a table in which w0 is ejected
    When one controller ejects w1, and then another ends the ejection of w0 on the basis of the earlier table
    Then w0 and w1 are ejected
