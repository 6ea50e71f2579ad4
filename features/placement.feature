Feature: A slice that is too hot for any worker is split

  Scenario: A slice hotter than its worker's limit is split, even if its worker could hand over cooler slices
    Given 18 workers with their first table
    When a worker without a free slot receives 64 requests per second on 64 adjacent keys of one slice and 2 on each of its other slices, in 5 reports
    Then the slice is split by the third report
