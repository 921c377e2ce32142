Feature: The framing of responses is read as HTTP/1.1 defines it

  Scenario: A sound body in chunks is rejected, or its end is missed, by how its bytes are divided
    Then 300 random bodies in chunks, divided at random, end at their last byte

  Scenario: A body in chunks has two ends, by how its damaged bytes are divided
    Then 2000 random bodies with damaged chunks are read alike however their bytes are divided
    And more than 200 of them are rejected

  Scenario: A line between chunks is held without bound
    When 10000 bytes without a line end arrive after the size of a chunk
    Then the body is rejected within 8193 bytes

  Scenario: A head costs time out of proportion to its size
    When 60000 bytes of a head arrive byte by byte
    Then processing them takes at most 1 s

  Scenario Outline: The end of a stream is held back without regard to the pace of its events
    Given a stream of <events> events, <pause> s apart, the first one 5 s after its head
    Then its end is held back for <hold> s

    Examples:
      | events | pause | hold  |
      | 1      | 0     | 0.06  |
      | 3      | 0.005 | 0.06  |
      | 3      | 0.1   | 0.18  |
      | 12     | 0.001 | 0.06  |
      | 12     | 0.02  | 0.06  |
      | 12     | 0.1   | 0.18  |
      | 12     | 1     | 1.53  |
      | 12     | 5     | 2     |

  Scenario: One long pause counts for the whole rest of a stream
    Given a stream of 2 events, 1 s apart, the first one 5 s after its head
    When 200 more events come, 0.01 s apart
    Then its end is held back for 0.06 s
