Feature: Limits on the bytes of responses

  Scenario: The largest of many incomplete bodies gives way
    Given limits of 100 bytes for a body and 200 bytes for all
    When three bodies have received 90, 60 and 60 bytes
    Then the first one gives way
    And the others may still receive 40 bytes each

  Scenario: A body that is complete no longer counts
    Given limits of 100 bytes for a body and 200 bytes for all
    When three bodies have received 100, 100 and 100 bytes, each complete before the next
    Then none gives way

  Scenario: A body that gives way as its end arrives is not taken for complete
    Given limits of 100 bytes for a body and 120 bytes for all
    When a body of 90 bytes ends, and gives way to one of 40 bytes before its end is read
    Then reading it fails

  Scenario: Events are the same however their bytes are divided
    Then 300 random divisions of a stream into pieces give its events

  Scenario: A partial event costs time in proportion to its size
    When 65000 bytes of an event arrive byte by byte
    Then processing them takes at most 1 s
