Feature: Contact with a majority before anything is served, refused or confirmed

  Whole archives, with and without a spare, and desks on a clock of the play's own. The judges: nobody answers
  a call but 503 who has had no majority there and back for a word's time and a call's; a read is not older
  than what was acknowledged before it; a leave that was confirmed is held by a majority, known to every whole
  archive after a word's time and to every desk in touch within DrainS; who is whole or newly ready is behind with
  nothing; no grant leaves on an old word, no two workers hold a key; no desk goes back.

  Scenario Outline: Cut off for twenty seconds, with orders, reads and leaves meanwhile
    Then 1 plays of <some> of <count> for twenty seconds <way> keep the rules
    Examples:
      | some | count | way    |
      | a    | 3     | both   |
      | a    | 3     | in     |
      | a    | 3     | out    |
      | a    | 3     | frozen |
      | ab   | 5     | both   |
      | ab   | 5     | in     |
      | ab   | 5     | out    |
      | ab   | 5     | frozen |

  Scenario: Trouble upon trouble
    Then 1 storms of 10 s among five archives and 1 among three keep the rules

  Scenario Outline: Directed plays, and each guard taken out
    Then 1 plays of "<play>" keep the rules
    And without <guard> a play of "<play>" is found out within <seeds> seeds
    Examples:
      | play     | guard                                            | seeds |
      | together | the majority that holds a leave                  | 4     |
      | together | contact before a worker's call is answered       | 4     |
      | together | the word of the majority                         | 1     |
      | aside    | leaves going on between archives                 | 4     |
      | stranger | the row of a leave that nobody knew              | 1     |
      | forgot   | desks that tell of leaves again                  | 1     |
      | thaw     | the look at the clock after a round              | 4     |
      | halted   | the look at the word as a grant leaves           | 1     |
      | unheard  | the look at what oneself has accepted            | 4     |
      | behind   | the word on the configuration                    | 1     |
      | slow     | the question before a desk is ready              | 1     |

  Scenario: An answer that took long makes no desk ready
    Given a desk that has all, from an archive that is whole
    When that answers what was asked 1.8 s ago
    Then the desk is not ready
    When that answers what was asked 0.2 s ago, with a newer table
    Then the desk is not ready
    When that answers what was asked 0.2 s ago
    Then the desk is ready

  Scenario: What a scribe began changes nothing once its word is over
    Given three archives with a table
    When one proposes a move, and its word ends
    Then the table stands as it was
    When one proposes a move
    Then the table has changed

  Scenario: A worker's last call stands against an older one, whatever was known of it
    Given a roll that has heard only the last call of w1
    When it hears an older call of w1 with its address
    Then w1 is gone there, with its address
    And its keys are not taken to be free

  Scenario: An answer from another epoch holds no leave
    Given a leave that is asked about among three voters of epoch 4
    When b answers as a voter of epoch 3, and c as none
    Then it is not confirmed in epoch 4
    When c answers as a voter of epoch 4
    Then it is confirmed in epoch 4
