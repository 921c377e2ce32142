Feature: How old a copy of the store is, whom a node follows, and what a gap means for its news

  Scenario Outline: A copy is known to hold what was acknowledged before a reading that it has reached
    Given a copy of which nothing is proven
    When these happen: <events>
    Then the copy is proven as of <as_of>

    Examples:
      | events                                               | as_of   |
      | reading 5 asked at 10                                | nothing |
      | copy at 5                                            | nothing |
      | reading 5 asked at 10, copy at 4                     | nothing |
      | reading 5 asked at 10, copy at 5                     | 10      |
      | reading 5 asked at 10, copy at 7                     | 10      |
      | reading 5 asked at 10, reading 5 asked at 12, copy at 5 | 12   |
      | reading 5 asked at 12, reading 4 asked at 10, copy at 5 | 12   |
      | reading 5 asked at 10, reading 7 asked at 12, copy at 5 | 10   |
      | reading 5 asked at 10, reading 7 asked at 12, copy at 5, copy at 7 | 12 |
      | reading 5 asked at 12, copy at 5, reading 5 asked at 10, copy at 5 | 12 |
      | reading 0 asked at 10, copy at 5                     | nothing |

  Scenario: The age of a copy counts from its last proof
    Given a copy of which nothing is proven
    When these happen: reading 5 asked at 10, copy at 5
    Then the copy is 3 s old at 13

  Scenario Outline: Which readers are fit to be followed
    Given a node that follows readers whose copies are at most 1.7 s old
    When a reader answers with a proof of <proof> s, a copy of <copy> s and path <path>
    Then the reader is <outcome>

    Examples:
      | proof | copy | path              | outcome |
      | 0.1   | 0.1  | reader            | kept    |
      | 2.5   | 1.6  | reader,third      | kept    |
      | 2.7   | 0.1  | reader            | left    |
      | 0.1   | 1.8  | reader            | left    |
      | 0.1   | 0.1  | none              | left    |
      | 0.1   | 0.1  | reader,node       | left    |
      | 0.1   | 0.1  | reader,node,third | left    |

  Scenario: Two nodes that the store does not answer, and that know only each other, do not stay
    Given two nodes that know each other and a store that answers
    When the store answers neither of them for 1.6 s
    Then they followed each other, but never for longer than 0.3 s

  Scenario: A node that follows another one names the one that reads the store for it
    Given two nodes that know each other and a store that answers
    When the store answers one of them no more
    Then it names itself and the other one as the path of its copy

  Scenario: A node that loses the store does not stay with one that follows it
    Given two nodes that know each other and a store that answers
    When the store answers one of them no more, and the other one neither after 0.6 s
    And 1 s passes
    Then the first followed the second, which followed the first, neither for longer than 0.3 s after that

  Scenario: A lost watch is no lost store
    Given a node that may follow another one where the store is lost
    When its first watch fails, while the range can be read
    Then the node reads the range a second time within 2 s
    And it followed nobody
    And its next watch goes on from there

  Scenario: A version that is found by a reading after a gap counts from the last proof of the copy
    Given a node whose store names a version while its watch hears nothing, with 8 s of grace
    When the watch finds its history gone, and the range is read
    Then the version counts from a time before it was named
    And not from before the last proof of the copy

  Scenario: A version that the watch brings late counts from the last proof of the copy
    Given a node whose store names a version while its watch hears nothing, with 8 s of grace
    When the watch brings it 0.5 s later
    Then the version counts from a time before it was named
    And not from before the last proof of the copy

  Scenario Outline: A version counts from no more than half of its grace ago
    Given a grace of 8 s for replaced weights
    Then what is news at <now> to a copy proven as of <proven> counts from <from>

    Examples:
      | now | proven | from |
      | 100 | 99     | 99   |
      | 100 | 96     | 96   |
      | 100 | 50     | 96   |
      | 100 | never  | 96   |

  Scenario: What a first reading finds is dated back by half of the grace, once
    Given a node that starts with a bound of 8 s for replaced weights, and 20 engines behind
    When its first reading finds the version
    Then 13 of the engines are ordered at once

  Scenario: A call to the store is answered at once though connections of earlier calls are silent
    Given a store to which 3 calls at once were answered
    When its open connections go silent
    Then 3 further calls to it are answered within 0.5 s
