Feature: Proxies keep equal shares of the connections that a worker accepts

  Scenario: Without coordination, proxies stay within a worker's limit and each proxy regularly gets a connection
    Given 62 proxies and 67 workers that accept 57 connections each
    Then they keep at most 45 idle connections to any worker, and on average half of those that it accepts
    And every proxy may keep a connection to a given worker in at least one of 10 successive periods
