Feature: Proxies share the connections that a worker accepts

  Scenario: Proxies share a worker's connections without asking each other
    Given 62 proxies and 67 workers that accept 57 connections each
    Then they keep at most 45 idle connections to any worker, and on average half of what it accepts
    And no proxy has to do without a connection to the same worker for 10 lottery periods
