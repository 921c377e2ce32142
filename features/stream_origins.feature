Feature: Which software version began a stream is known after the node that began it has ended

  Nodes without a network: messages arrive after a millisecond, are lost, or end at a dead node.

  Scenario Outline: A stream is resumed after its node was killed right after the first event
    Given <nodes> nodes in 3 zones before engines of 2 software versions
    And <loss> of their messages are lost
    When 300 streams begin, each at a node that is killed at once, and are resumed elsewhere
    Then at least 0.99 of them go on, all at the version that began them

    Examples:
      | nodes | loss |
      | 5     | 0    |
      | 5     | 0.02 |
      | 86    | 0    |
      | 86    | 0.02 |

  Scenario Outline: A stream is resumed after the zone of its node was cut off
    Given <nodes> nodes in 3 zones before engines of 2 software versions
    When 100 streams begin, each in a zone that is cut off at once, and are resumed elsewhere
    Then at least 0.99 of them go on, all at the version that began them

    Examples:
      | nodes |
      | 6     |
      | 86    |

  Scenario: Nodes that know different members resume a stream
    Given 12 nodes in 3 zones before engines of 2 software versions
    And each node does not know another one
    When 300 streams begin, each at a node that is killed at once, and are resumed elsewhere
    Then at least 0.99 of them go on, all at the version that began them

  Scenario: Streams that began before a second version came are resumed after it
    Given 12 nodes in 3 zones before engines of 1 software version
    When 100 streams begin, and engines of a second version come
    And their nodes are killed, and the streams are resumed elsewhere
    Then at least 0.99 of them go on, all at the version that began them

  Scenario: Messages are sent though only one version serves
    Given 12 nodes in 3 zones before engines of 1 software version
    When 100 streams begin
    Then no message was sent

  Scenario: Resumptions wait for dead nodes though only one version serves
    Given 5 nodes in 3 zones before engines of 1 software version
    When 100 streams begin
    And their nodes are killed, and the streams are resumed elsewhere
    Then at least 1 of them go on, all at the version that began them
    And no node was asked twice for a stream

  Scenario: Two streams of one caller have the same id
    Given 12 nodes in 3 zones before engines of 2 software versions
    When two streams begin under one id at engines of both versions, and their nodes are killed
    Then a resumption that names this id is refused

  Scenario: A flood of streams is remembered without bound
    Given a node that remembers 100 origins of streams
    When 1000 streams begin there within a second
    Then it remembers 100, and none 100 s later

  Scenario: An engine starts again with other software
    Given a record of an engine at version v1.1, and of one at v1.2
    When the first engine writes a record of version v1.2 under its id and address
    Then a stream that began at v1.1 goes on at no engine, and one of v1.2 at either
    And both versions count as having served for 60 s

  Scenario: A version is forgotten while streams that began at it may be resumed
    Given a stream with a deadline of 300 s that began at v1.1, beside engines of v1.2
    When 200 s pass after the engines of v1.1 left
    Then a stream of unknown origin may have begun at either version later
    And the record of versions is written without v1.1 400 s later

  Scenario: The origins of all nodes are mirrored at each node
    Given a mirror of a store that holds an origin and another item
    When another origin is written and the first one is removed
    Then the mirror has the other item alone, follows the store, and reports no change

  Scenario: Versions are counted again for each record that an engine renews
    Given a record of an engine at version v1.1, and of one at v1.2
    When both engines renew their records
    Then the versions are not counted again
    When the second engine's record names another service
    Then the first service has version v1.1 alone, and the other one v1.2

  Scenario Outline: A caller comes back in vain for a version that serves no more
    Given engines of version v1.2, and a stream that began at v1.1
    When the engines of v1.1 <end>
    Then the stream's caller is asked to come back after <wait>

    Examples:
      | end                                               | wait                 |
      | crash                                             | 0.5 s                |
      | drain                                             | the time it has left |
      | crashed 2 s ago                                   | 2 s                  |
      | crashed 6 s ago                                   | the time it has left |
      | have records that have not come here              | 0.5 s                |
      | have had no record here, 2 s after the first call | the time it has left |

  Scenario: Streams of a busy version make the whole service count as full
    Given a busy engine of version v1.1 beside 4 idle ones of v1.2
    When 50 requests that only v1.1 may serve are placed
    Then the service does not count as overloaded, and a new request goes to v1.2

  Scenario Outline: A resumption that no engine can serve waits for its turn
    Given engines of version v1.2, and a stream that began at v1.1
    When its caller resumes it while <what>
    Then it is refused, and need not wait

    Examples:
      | what                                             |
      | it is not known whether it crashes engines       |
      | other requests of the service wait for an engine |

  Scenario Outline: New streams begin at a version that is being replaced
    Given 4 idle engines of version v1.1, and <others> of version v1.2 with some load
    When an engine of v1.1 <ends>
    Then a new stream that <may> be resumed begins at <version>

    Examples:
      | others | ends                      | may     | version |
      | 4      | drains                    | may     | v1.2    |
      | 4      | drains                    | may not | v1.1    |
      | 4      | drained and left 5 s ago  | may     | v1.2    |
      | 4      | drained and left 20 s ago | may     | v1.1    |
      | 4      | crashed 5 s ago           | may     | v1.1    |
      | 2      | drains                    | may     | v1.1    |

  Scenario Outline: Streams begin at a version that a restart of all nodes would not know
    Given 2 engines of version v1.1, recorded in the store, which are <state>
    When <count> idle engines of version v1.2 come to a node that has run for <uptime> s
    Then new streams begin at <before>
    When the node has written what it is to record for <written> s
    Then new streams begin at <after>

    Examples:
      | state   | count | uptime | before | written | after |
      | idle    | 2     | 1      | v1.1   | 6       | v1.1  |
      | idle    | 2     | 11     | v1.1   | 0.3     | v1.1  |
      | idle    | 2     | 11     | v1.1   | 6       | any   |
      | idle    | 3     | 1      | v1.1   | 0.3     | any   |
      | busy    | 2     | 1      | v1.1   | 0.3     | any   |
      | leaving | 2     | 1      | v1.2   | 0.3     | v1.2  |
      | ended   | 2     | 1      | v1.2   | 0.3     | v1.2  |

  Scenario: A version that was used without a record counts as unused
    Given 2 engines of version v1.1, recorded in the store, which are ended
    When 2 idle engines of version v1.2 come to a node that has run for 1 s
    And engines of v1.1 come back
    Then a stream of unknown origin may have begun at either version
