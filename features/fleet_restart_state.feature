Feature: What nodes conclude from the absence of state that only ended nodes held in memory

  Guards against nodes that start, find no trace of an event, and conclude that there was none.

  Scenario Outline: A revoked key is accepted after the store was restored: <which>
    Given a store that reports its era, 2 engines and 4 nodes before them
    And a key that was revoked so long ago that no node may accept it
    When <which> after the store was restored from a copy with the key, and operators write theirs again 0.9 s later
    Then no engine got a request with the revoked key
    And each node serves the other key within 2 s of the rewrite, or of its first answer

    Examples:
      | which                                 |
      | one node starts                       |
      | all nodes start at once               |
      | all nodes start one by one            |
      | all nodes start beside a silent store |

  Scenario: Nodes that start wait for operators although the store was not restored
    Given a store that reports its era, 2 engines and 4 nodes before them
    When all nodes are killed and start again at a store that was not restored
    Then no node takes the store for restored, and one has recorded its era
