Feature: An ill worker is taken out by what desks meet, not by what it says

  Scenario: A worker that fails part of its requests, and its way back
    Given ten workers, and desks that try each 4 times a report
    When w3 fails 2 of 4 at d1 and d2 for 2 reports
    Then nobody is out
    When w3 fails 2 of 4 at d1 and d2 for 3 reports
    Then w3 is out, and for 4 s
    When w3 fails 2 of 4 at d1 and d2 for 4 reports
    Then w3 is out, and for 8 s

  Scenario: What one desk alone meets, what all workers do, and a half of them at once
    Given ten workers, and desks that try each 4 times a report
    When w3 fails 4 of 4 at d1 for 8 reports
    Then nobody is out
    When every worker fails 2 of 4 at d1 and d2 for 8 reports
    Then nobody is out
    When w0, w1, w2 and w3 fail 4 of 4 at d1 and d2 for 8 reports
    Then two are out

  Scenario: A judgement by an archive that has missed another's changes nothing
    Given a table in which w0 is out
    When one archive judges that w1 is out too, and another, which missed that, that w0 may serve again
    Then w0 and w1 are out
