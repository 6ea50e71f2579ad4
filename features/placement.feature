Feature: Slices are placed where they can be served

  Scenario: A slice that is hotter than a worker is split, though its worker could hand over cooler ones
    Given 18 workers with their first table
    When 5 reports state of a worker that is full 64 requests a second on 64 keys in a row, 2 on each other slice of it
    Then that slice was split by the third report
