Feature: Engines of several software versions in one service

  Guards against streams that hold events of engines of two software versions: what two versions
  write does not fit together, and engines do not check this.

  Scenario: A stream goes on at another version after its engine crashed
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 2 nodes before them
    When 40 callers stream and half of the engines of each version crash under way
    Then no stream holds events of two versions
    And at least 0.95 of the streams are complete

  Scenario: A run continues at a copy of another version
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 2 nodes before them
    When 40 callers stream on a route that may not be resumed, and an engine of each crashes
    Then no stream holds events of two versions
    And at least 0.95 of the streams are complete

  Scenario Outline: A stream is resumed at another node, at another version
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When 40 callers stream, and leave and resume at another node <count> times
    Then no stream holds events of two versions
    And streams were resumed at least 0.95 as often as new ones began

    Examples:
      | count |
      | 1     |
      | 3     |

  Scenario: The node at which a stream began is killed right after its first event
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When 40 callers stream at the first node, which is killed once all have an event
    Then no stream holds events of two versions
    And at least 0.99 of the streams are complete

  Scenario: The node at which a stream began is killed, and a node at which it was resumed
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When 40 callers stream at the first node, which is killed, and the second one 0.4 s later
    Then no stream holds events of two versions
    And streams were resumed at least 0.95 as often as new ones began

  Scenario: A rolling upgrade ends the engines of a version one by one
    Given a stand-in platform whose model engines have 4 of version v1.1 and 0 of version v1.2
    And 4 nodes before them
    When callers stream, leave and resume while engines of v1.2 replace those of v1.1
    Then no stream holds events of two versions
    And while two engines of v1.1 served, streams were resumed at least 0.95 as often as begun

  Scenario: All engines of one version end at once
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When 60 callers stream, leave and resume, and all engines of v1.1 crash under way
    Then no stream holds events of two versions
    And each resumption that could not go on was refused with a time to come back, or lost with its engine
    And in the first 0.3 s after the crash, at least 0.9 of the refusals without an attempt took nodes at most 50 ms
    And from 0.3 s after the crash the median refusal took at most 50 ms
    And at least 0.95 of the new streams began

  Scenario: New streams take the room of a version that only resumed streams can use
    Given a stand-in platform whose model engines have 1 of version v1.1 and 0 of version v1.2
    And 4 nodes before them
    When 12 callers stream, 4 engines of v1.2 start, and the callers leave and resume 3 times
    And 24 new callers stream meanwhile
    Then no stream holds events of two versions
    And streams were resumed at least 0.95 as often as new ones began
    And no stream of the new callers began at v1.1

  Scenario: Streams are resumed while the store is silent
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 4 nodes before them
    When the store falls silent
    And 40 callers stream, and leave and resume at another node 3 times
    Then no stream holds events of two versions
    And streams were resumed at least 0.95 as often as new ones began

  Scenario: Streams of the only version do not go on while the store is silent
    Given a stand-in platform whose model engines have 8 of version v1.1 and 0 of version v1.2
    And 4 nodes before them
    When the store falls silent
    And 40 callers stream at the first node, which is killed once all have an event
    Then streams were resumed at least 0.95 as often as new ones began

  Scenario Outline: A resumption names a request that did not begin the stream
    Given a stand-in platform whose model engines have 2 of version v1.1 and 2 of version v1.2
    And 2 nodes before them
    When a caller resumes a stream that "<named>" began
    Then it is refused with 503, a time to come back and result 2018
    And the median of 5 such refusals takes at most 50 ms

    Examples:
      | named                                |
      | nobody                               |
      | the resumption itself                |
      | a request with an id of 6,000 bytes |
      | a request of another tenant          |
      | a request on another route           |
      |                                      |

  Scenario: A stream of a service with one version is resumed at a node that has just started
    Given a stand-in platform whose model engines have 2 of version v1.1 and 0 of version v1.2
    And 2 nodes before them
    When 5 callers stream at the first node, leave, and resume at a node that has just started
    Then streams were resumed at least 0.95 as often as new ones began

  Scenario: A node of an earlier build resumes a stream or began it
    Given a stand-in platform whose model engines have 4 of version v1.1 and 4 of version v1.2
    And 2 nodes before them, the second of build fd63217
    When 20 callers stream at the second node, leave, and resume at the first
    Then no stream holds events of two versions
    And each resumption that could not go on was refused with a time to come back
