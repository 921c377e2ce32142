Feature: A version that is not recorded is taken for unused only where no stream can have begun there

  Nodes without a network, whose store and mirrors are stand-ins.

  Scenario Outline: A forgotten stream of an unrecorded version goes on at the recorded one: <cause>
    Given a record of v1.1 alone in the store, and engines of v1.1 and v1.2
    And a stream that began at v1.2 while <cause>
    When a node that has just started resumes it, beside engines of both versions
    Then it goes on at v1.2 or is refused

    Examples:
      | cause                                                            |
      | v1.1 had no engine for a moment, before the record was written   |
      | v1.1 drained, before the record was written                      |
      | both were recorded, and the store came back from an older copy   |

  Scenario: A stream begins at a version of which other nodes have not read the record
    Given a record of v1.1 alone in the store, and engines of v1.1 and v1.2
    And a node that has run for 100 s, whose engines of v1.1 are busy
    When the node records v1.2
    Then no stream begins at v1.2 at once, and one does 0.6 s later

  Scenario Outline: A stream goes on at the only version of which a late mirror has the record: <mirror>
    Given a record of v1.1 alone in the store, and engines of v1.1 and v1.2
    And a node whose mirror <mirror>
    When v1.2 is recorded, a stream begins there 0.6 s later, and its node is killed
    And the node with the late mirror resumes it
    Then it goes on at v1.2 or is refused

    Examples:
      | mirror                                           |
      | was complete until now                           |
      | was complete until now, and has the engines soon |

  Scenario Outline: Each resumption reads the record where one version serves: <age> s
    Given a node before engines of v1.1, whose mirror was complete <age> s ago
    When 100 streams that nobody knows are resumed there at once
    Then all go on at v1.1, and the record was read <reads> times

    Examples:
      | age | reads |
      | 0.3 | 0     |
      | 2   | 1     |

  Scenario: A late mirror counts as complete while the store cannot be read
    Given a node before engines of v1.1, whose mirror was complete 4 s ago
    And the store answers no reads
    When 100 streams that nobody knows are resumed there at once
    Then all are refused for a short time, and the record was read at most 6 times

  Scenario: Streams of the only version do not go on while the store is silent
    Given a node before engines of v1.1, whose mirror was complete 2 s ago
    And the store answers no reads
    When 100 streams that nobody knows are resumed there at once
    Then all go on at v1.1, and the record was read at most 6 times

  Scenario Outline: A late mirror counts as complete at a node that is cut off from peers: <answering> of 3
    Given a node before engines of v1.1, whose mirror was complete 2 s ago
    And the store answers no reads
    And 3 peers, of which <answering> answer that they do not know the streams
    When 100 streams that nobody knows are resumed there at once
    Then all are refused for a short time, and the record was read at most 6 times

    Examples:
      | answering |
      | 0         |
      | 1         |

  Scenario Outline: A late mirror counts as complete at nodes that are cut off together: <lost> of <known> lost
    Given a node before engines of v1.1, whose mirror was complete 2 s ago
    And the store answers no reads
    And of <known> peers that it knew <lost> have been suspected since, and the others answer
    When 100 streams that nobody knows are resumed there at once
    Then all are refused for a short time, and the record was read at most 6 times

    Examples:
      | known | lost |
      | 1     | 1    |
      | 3     | 2    |

  Scenario Outline: Streams of the only version do not go on while the store is silent to all nodes: <answering> of 3
    Given a node before engines of v1.1, whose mirror was complete 2 s ago
    And the store answers no reads
    And 3 peers, of which <answering> answer that they do not know the streams
    When 100 streams that nobody knows are resumed there at once
    Then all go on at v1.1, and the record was read at most 6 times

    Examples:
      | answering |
      | 2         |
      | 3         |

  Scenario: A resumption is refused at a node that the store refuses, though it follows another one
    Given a node before engines of v1.1, whose mirror was complete 4 s ago
    And the store answers no reads
    And the node that it follows confirms its mirror 0.3 s from now
    When 100 streams that nobody knows are resumed there at once
    Then all go on at v1.1, and the record was read at most 6 times

  Scenario: Nodes that start at once read the record for each stream that is resumed
    Given 86 nodes that have just started before engines of v1.1, which is recorded
    When each node resumes a stream every 0.05 s for 3 s
    Then all go on, and the record was read at most 516 times

  Scenario Outline: A new stream waits for engines of the recorded version beside idle ones: <why>
    Given 2 engines of version v1.1, recorded in the store, which are idle
    And 2 idle engines of version v1.2, at a node that has run for 1 s
    And the engines of v1.1 have free slots, but <why>
    When a new stream is placed every 0.1 s for 3 s
    Then a stream begins within 1 s

    Examples:
      | why                           |
      | tokens wait there for long    |
      | their memory is full          |

  Scenario: A service counts as overloaded though half of its engines are idle
    Given 2 engines of version v1.1, recorded in the store, which are idle
    And 2 idle engines of version v1.2, at a node that has run for 1 s
    And the engines of v1.1 have free slots, but tokens wait there for long
    When a new stream is placed every 0.1 s for 3 s
    Then the service does not count as overloaded

  Scenario: New streams are kept from most engines as long as the store refuses writes
    Given 1 engines of version v1.1, recorded in the store, which are busy
    And 7 idle engines of version v1.2, at a node that has run for 100 s
    And the store refuses writes
    When a new stream is placed every 0.1 s for 6 s, and goes on
    Then at least 30 of the streams begin at v1.2

  Scenario: Streams begin at a version that drains, because the version that replaces it is deferred
    Given 4 engines of version v1.1, recorded in the store, which are idle
    And 2 idle engines of version v1.2, at a node that has run for 1 s
    And 2 engines of v1.1 drain
    When a new stream is placed every 0.1 s for 3 s
    Then no stream begins at v1.1 after 0.6 s

  Scenario Outline: Forgotten streams are refused because <what>
    Given 4 engines of version v1.1, recorded in the store, which are idle
    And 4 idle engines of version v1.2, at a node that has run for 1 s
    When <what>
    And the node writes what it is to record for 3 s
    Then the node takes v1.1 for the version that began all streams

    Examples:
      | what                                              |
      | nothing happens                                   |
      | one idle engine of v1.2 starts again              |

  Scenario Outline: A change of versions is written by all nodes: <nodes>, <before>, <late> s
    Given <nodes> nodes that have run for 100 s before engines of v1.1, which is recorded
    And <before>
    When engines of v1.3 come, and the nodes write in turn, following the store <late> s late
    Then at most 5 nodes have written

    Examples:
      | nodes | before                       | late |
      | 86    | nothing happened before      | 0.02 |
      | 86    | nothing happened before      | 0.5  |
      | 86    | all of them needed v1.2 once | 0.02 |
      | 86    | all of them needed v1.2 once | 0.5  |
      | 350   | all of them needed v1.2 once | 0.5  |

  Scenario Outline: Many nodes need a version at once: <nodes>, <late> s
    Given <nodes> nodes that have run for 100 s before engines of v1.1, which is recorded
    And engines of v1.2 come at once
    When all need v1.2, and the nodes write in turn, following the store <late> s late
    Then at most 5 nodes have written

    Examples:
      | nodes | late |
      | 86    | 0.02 |
      | 350   | 0.02 |

  Scenario: A version that left before it was recorded is forgotten though streams began there
    Given a record of v1.1 alone in the store, and engines of v1.1 and v1.2
    When streams begin at v1.2 while the store takes no writes, and its engines end
    And the store takes writes for 3 s, and all nodes are killed
    And a node that has just started resumes it, beside engines of v1.1 alone
    Then it goes on at v1.2 or is refused

  Scenario: A late mirror counts as complete after a single failed read of a store that answers
    Given a record of v1.1 alone in the store, and engines of v1.1 and v1.2
    And a node whose mirror was complete until now
    When v1.2 is recorded, a stream begins there 0.6 s later, and its node is killed
    And the next read of the store fails at once, and later ones succeed
    And the node with the late mirror resumes it
    Then it goes on at v1.2 or is refused

  Scenario Outline: The node that records a version learns late that another one has ended: <nodes> nodes
    Given <nodes> nodes with the membership of gateways, of which one ends as v1.2 comes
    When the node that writes first maintains the record, and a caller comes back after 8 s
    Then at least 19 of the plays go on at v1.1

    Examples:
      | nodes |
      | 4     |
      | 6     |
