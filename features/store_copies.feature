Feature: The age of a copy of the store, the choice of a reader, and gaps in the watch

  Scenario Outline: A copy contains the changes acknowledged before a read whose revision it has reached
    Given a copy without a proof
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

  Scenario: The age of a copy starts at its last proof
    Given a copy without a proof
    When these happen: reading 5 asked at 10, copy at 5
    Then the copy is 3 s old at 13

  Scenario Outline: Which readers a node may follow
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

  Scenario: Two nodes that the store does not answer soon stop following each other
    Given two nodes that know each other, and a reachable store
    When the store answers neither of them for 1.6 s
    Then they followed each other, but never for longer than 0.3 s

  Scenario: A follower reports the path of its copy from the store
    Given two nodes that know each other, and a reachable store
    When the store no longer answers one of them
    Then it reports itself and the other one as the path of its copy

  Scenario: A node that loses the store soon stops following its own follower
    Given two nodes that know each other, and a reachable store
    When the store no longer answers one of them, and after 0.6 s neither of them
    And 1 s passes
    Then the first followed the second, which followed the first, neither for longer than 0.3 s after that

  Scenario: A failed watch does not mean that the store is unavailable
    Given a node that may follow another one if the store is unavailable
    When its first watch fails, while the range can be read
    Then the node reads the range a second time within 2 s
    And it followed no node
    And its next watch starts at the revision of that read

  Scenario: A node that leaves a reader with an old copy reads the range before it watches
    Given a reader and its follower, whose watches get no changes
    When a change is written, and the follower learns that the reader's copy is too old
    Then the follower has the change before its own copy is 2.1 s old

  Scenario: The grace of a version found by a read after a gap starts at the last proof of the copy
    Given a node with 8 s of grace, and a version that is published while its watch gets no changes
    When the watch fails because its history is gone, and the range is read
    Then the grace of the version starts before its publication
    And it starts no earlier than the last proof of the copy

  Scenario: The grace of a version that the watch delivers late starts at the last proof of the copy
    Given a node with 8 s of grace, and a version that is published while its watch gets no changes
    When the watch delivers it 0.5 s later
    Then the grace of the version starts before its publication
    And it starts no earlier than the last proof of the copy

  Scenario Outline: The grace of a version starts at most half of the grace before it is found
    Given a grace of 8 s for replaced weights
    Then the grace of a version found at <now> by a copy proven as of <proven> starts at <from>

    Examples:
      | now | proven | from |
      | 100 | 99     | 99   |
      | 100 | 96     | 96   |
      | 100 | 50     | 96   |
      | 100 | never  | 96   |

  Scenario Outline: An engine whose record is removed while only the watch fails is no longer used
    Given a node that uses an engine, whose record can expire if the store is down for 3 s
    When its watch gets no changes for <gap> s, in which <what> and the record is removed
    And it reads the range
    Then it <uses> the engine until its record is written again

    Examples:
      | gap | what                          | uses         |
      | 3.2 | the store answers other calls | does not use |
      | 3.2 | the store is down             | uses         |
      | 3.2 | no other call is sent         | uses         |
      | 0.2 | no other call is sent         | does not use |

  Scenario Outline: The longest time without an answer tells whether a record can have expired
    Given records of live engines that expire in an outage of 2.4 s or more
    When the store answers calls <asked and answered>
    Then at <now>, a record <can> have expired since <since>

    Examples:
      | asked and answered | now | since | can    |
      | none               | 9   | 8     | can    |
      | 1-1, 2-2, 3-3, 4-4 | 5   | 1     | cannot |
      | 1-1, 2-2           | 5   | 2     | can    |
      | 1-1, 5-5           | 6   | 1     | can    |
      | 1-1, 5-5           | 6   | 5.5   | cannot |
      | 1-1, 2-4           | 4.3 | 1     | can    |
      | 1-1, 2-4           | 4.3 | 4.2   | cannot |
      | 3-3, 4-4, 1-5      | 6   | 3     | cannot |

  Scenario: A version found by a first read is dated back by half of the grace, only once
    Given a node that starts with a bound of 8 s for replaced weights, and 20 engines with an older version
    When its first read finds the version
    Then 13 of the engines are ordered to load it at once

  Scenario: A call to the store is answered although connections of earlier calls have stopped responding
    Given a store that has answered 3 concurrent calls
    When its open connections stop responding
    Then 3 further calls to it are answered within 0.5 s
