Feature: All nodes are killed while two versions serve, and the record of versions is an earlier one

  Scenario: Streams go on at another version after the store came back from a copy of before it came
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And the store reports its era
    And 4 nodes before them, which have been ready for 11 s
    And 4 engines of version v1.2 came 7 s ago
    When 40 streams begin, all nodes are killed and start again, and the store came back from a copy of before v1.2 came
    And the callers resume their streams until they are complete or refused for 3 s
    Then no stream holds events of two versions

  Scenario: Streams go on at a version that left while theirs could not be recorded, and came back
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    And the store has refused writes since before 4 engines of version v1.2 came 2.6 s ago
    When v1.1 leaves, 40 streams begin, all nodes are killed, v1.1 comes back, the store takes writes, and the nodes start again
    And the callers resume their streams until they are complete or refused for 3 s
    Then no stream holds events of two versions

  Scenario Outline: Forgotten streams are refused after a second version came while nodes were down: <ready> s, <nodes>, <then>
    Given 4 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for <ready> s
    When 40 streams begin, <nodes> are killed, 4 engines of v1.2 start, the nodes start again, and <then>
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete

    Examples:
      | ready | nodes             | then                             |
      | 2     | all nodes         | nothing else happens             |
      | 2     | all nodes         | one of these engines is replaced |
      | 13    | all nodes but one | nothing else happens             |
      | 2     | all nodes but one | nothing else happens             |

  Scenario: Streams go on at another version at a node that started before theirs was recorded
    Given 2 engines of version v1.1 and 0 of version v1.2 in processes of their own
    And 3 nodes before them, which have been ready for 2 s
    When a new node has read the store and hears no changes, 4 engines of v1.2 come, and once these are recorded 40 streams of which it holds no origin begin at the first
    And the other nodes are killed, and the callers resume their streams at the new one for 6 s
    Then no stream holds events of two versions
    And of the streams whose version has engines, at least 0.95 are complete
