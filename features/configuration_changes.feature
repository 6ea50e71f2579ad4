Feature: Every order of an operator has one clear answer, and keeps it

  Scenario Outline: Orders amid losses, doubles, late messages, stops and lost answers
    Then 40 storms of orders at <voters> voters keep every answer
    And each of these is found out within 20 storms at <voters> voters
      | guard taken out                                                |
      | a majority                                                     |
      | a value that a minority holds is not yet chosen                |
      | what is forgotten is not refused                               |
      | an order is known again                                        |
      | an order is known by its content, not its number               |
      | a refusal of what may still come is agreed                     |
      | one version on each parent                                     |

    Examples:
      | voters |
      | 3      |
      | 5      |

  Scenario: Each kind of order on one value, which an older program left on the disk
    Given a register of an older program that holds r9 after r7
    Then orders are answered in turn
      | number | parent | content | answer | why                                        |
      | 9      | 7      | r9      | 200    | it is in force                             |
      | 7      | 5      | r7      | 200    | it was                                     |
      | 7      | 5      | other   | 412    | r7 was another                             |
      | 8      | 7      | late    | 412    | it lost the race                           |
      | 6      | 5      | old     | 503    | r6 may have been taken, nobody knows       |
      | 9      | 9      | flat    | 400    | it does not rise                           |
      | 12     | 11     | early   | 412    | r11 is not there; from now on refused      |
      | 11     | 9      | next    | 200    | it follows                                 |
      | 12     | 11     | early   | 412    | it was refused before                      |
      | 12     | 11     | after   | 200    | one number, another content                |
    And no trace of refused orders is left
    And of 100 orders whose parent is not there 64 are refused and the others have no clear answer

  Scenario Outline: What is read back is never older than what was acknowledged before
    Then 12 plays of a far reader at <voters> voters keep what was acknowledged
    And the same without backoff, as no rule rests on waits
    And letting changes into a round that has begun is found out within 12 of these

    Examples:
      | voters |
      | 3      |
      | 5      |

  Scenario: Hundreds of changes in a day, and any of them sent again
    Then a day of 400 changes acknowledges all, and each repeat
    And where 50 digests are kept, repeats of what is older have no clear answer and none is refused

  Scenario: What a known version settles is right even at a controller that hears nobody, and nothing else is
    Given controllers that know that r2 followed r1
    When all links of one are cut
    Then it acknowledges r1 and r2 again
    And it refuses another order on r1
    And it has no clear answer for an order on r2

  Scenario Outline: Eight orders at once are answered in time
    Then eight at <voters> voters, <site>, have clear answers within half of AckS in 20 seeds

    Examples:
      | voters | site         |
      | 3      | far          |
      | 3      | one slow     |
      | 5      | far          |
      | 5      | one slow     |

  Scenario: What the times rest on
    Then proposers without backoff are found out by the time within 20 seeds
    And eight at one controller far from others take three times as long as one, not eight times
    And one change in a round is found out by that within 20 seeds
