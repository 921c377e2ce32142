Feature: Limits on the bytes of responses

  Scenario: The largest of many incomplete bodies gives way
    Given limits of 100 bytes for a body and 200 bytes for all
    When three bodies have received 90, 60 and 60 bytes
    Then the first one gives way
    And the others may still receive 40 bytes each

  Scenario: Bodies give way while others that would free their bytes are incomplete
    Given limits of 100 bytes for a body and 200 bytes for all
    When three bodies are offered 90, 60 and 60 bytes
    Then none gives way
    And the last one waits until the first one has ended

  Scenario: Sound bodies give way, or wait for each other for ever, in some order of their pieces
    Then 300 random plays of bodies within limits of 100 and 200 bytes complete all of them

  Scenario: A body waits for ever behind bodies that do not end
    Given limits of 100 bytes for a body and 200 bytes for all
    When two bodies of 90 and 60 bytes stand still, and one of 60 bytes arrives
    Then the first one gives way
    And the other one is read within 3 s

  Scenario: A body waits for ever behind bodies that do not end, while small ones end
    Given limits of 100 bytes for a body and 200 bytes for all
    And bodies of 1 byte that end one after another beside them
    When two bodies of 90 and 60 bytes stand still, and one of 60 bytes arrives
    Then the first one gives way
    And the other one is read within 3 s

  Scenario: A body that gives way while it waits is read for ever
    Given limits of 100 bytes for a body and 120 bytes for all
    When a body of 60 bytes gives way while it waits to receive 20 more
    Then reading it fails

  Scenario: An engine that is killed while a body of it waits is taken to have closed right after its last bytes
    When an engine closes a connection 0.3 s before its body without a length is read
    Then the close counts as at least 0.3 s later than the last bytes

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
