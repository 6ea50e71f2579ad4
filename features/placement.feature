Feature: Keys that crowd are spread

  Scenario: A slice hotter than a worker is split though its worker can be relieved of cooler ones
    Given 18 workers with their first table
    When 5 reports tell of a worker that is full: 64 requests a second on 64 keys in a row, 2 on each other slice of it
    Then that slice was split by the third report
