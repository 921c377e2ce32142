Feature: In a zone with many nodes a few read the store, and the others follow them

  Scenario Outline: The number of nodes of a zone that read the store
    Given a zone of <nodes> nodes
    Then <readers> of them read the store
    And each of the others follows one, no reader more than <most> of them

    Examples:
      | nodes | readers | most |
      | 3     | 3       | 0    |
      | 4     | 4       | 0    |
      | 5     | 2       | 3    |
      | 26    | 2       | 18   |

  Scenario: In a small fleet with small zones every node reads the store, as it may refuse any few of them
    Given a region of 8 nodes in 4 zones
    Then 8 of them read the store

  Scenario: A reader that failed is in backoff for some time, and a node without a reader reads the store
    Given a zone of 8 nodes
    When the reader that a node follows fails
    Then the node follows the other reader
    When the reader that a node follows fails
    Then the node reads the store itself
    When 6 s pass
    Then the node follows a reader again

  Scenario: A reader's backoff is short after one failure, and longer after repeated failures
    Given a zone of 8 nodes
    When the same reader fails a node 1 times, each time as soon as it is followed again
    Then that reader is followed again after 1 s
    When the same reader fails a node 3 times, each time as soon as it is followed again
    Then that reader is followed again after 4 s
    When the same reader fails a node 9 times, each time as soon as it is followed again
    Then that reader is followed again after 8 s

  Scenario Outline: A node that starts reads the store once, and watches it only if it must
    Given a store whose calls are counted, and a node that finds a reader <when>
    When the node runs for 1.6 s
    Then the store was read <reads> times and watched <watches> times
    And the node's configuration is proven

    Examples:
      | when        | reads | watches |
      | after 0.4 s | 1     | 0       |
      | never       | 1     | 1       |

  Scenario: A node that gets no answer from the store follows other nodes, in any zone
    Given a zone of 3 nodes
    When the store does not answer one of them
    Then it follows 3 other nodes one after the other, and then none
    And those of its own zone come first
    And it follows one of them for 5 s before it tries the store again

  Scenario: A dead or leaving reader is replaced in the same way on every node
    Given a zone of 8 nodes
    When a reader dies
    Then 2 of them read the store
    And no node follows the dead one

  Scenario: A removed item does not return from a copy that is behind
    Given a mirror at revision 10 from which "engine" was removed at 9
    When a reader that is behind reports "engine" as written at 7
    Then the mirror does not have "engine"

  Scenario: A change log serves the copies that it can update without a gap
    Given a change log with batches up to revisions 10, 12 and 15 after 8
    Then a copy at 10 lacks the batches up to 12 and 15
    And a copy at 15 lacks none
    And a copy at 7 cannot be served
    When it holds no more than 2 changes
    Then a copy at 8 cannot be served

  Scenario: The age of a peer's proof counts from the request for it, however late the answer arrives
    Given a configuration in force at version 5
    When a peer asked at 100 s answers with version 5 and a proof 1.2 s old
    Then the proof is 3.2 s old at 102 s
    When a peer asked at 103 s answers with version 4 and a proof 0.1 s old
    Then the proof is 4.2 s old at 103 s

  Scenario: A follower gets a snapshot, then each change, and resumes from its position
    Given a reader with 300 items, one of them of 200000 bytes
    When a follower follows it
    Then the follower has the 300 items
    When the reader learns of a written and of a removed item
    Then the follower has them too, with the same revision
    When the follower loses the connection, and the reader learns of 3 more items
    And the follower follows it again
    Then the follower has all of the reader's items without reading them all again

  Scenario Outline: A follower gives up an unreliable reader within about a second
    Given a reader with 3 items
    When a follower follows it
    And the reader becomes unreliable: it <fails>
    Then the follower gives it up within <seconds> s

    Examples:
      | fails                  | seconds |
      | falls silent           | 1.2     |
      | has no fresh proof     | 0.8     |
      | sends an invalid message | 0.5   |
      | closes                 | 0.5     |

  Scenario: A follower that does not read is disconnected
    Given a reader with 3 items
    When a follower follows it and stops reading
    And the reader learns of 40 items of 2000000 bytes each
    Then the reader has no followers, and queued less than 20 MB for any

  Scenario: While the store fails, requests make a node read it no more often than usual
    Given a node whose proof has expired, and a store that fails after 0.1 s
    When requests with API keys arrive for 3.5 s
    Then the store was read at most 4 times
    When the failing store recovers
    Then the node has a proof within 3 s

  Scenario Outline: A node that was suspended requests a proof at once, and waits a short time for it
    Given a follower whose proof expired while it was suspended, and a store that answers in <delay> s
    When requests with API keys arrive
    Then they are served: <served>
    And the store was read 1 time

    Examples:
      | delay | served |
      | 0.01  | yes    |
      | 0.3   | no     |

  Scenario Outline: After its process stood still a node reads the store only at the regular interval: <before>
    Given a node that reads the store, which answers in 0.1 s
    When its process has stood still, as a read of the store <before>
    Then a read that was sent after that is answered within 0.35 s

    Examples:
      | before                          |
      | is under way                    |
      | was requested just before       |
      | has just ended without answer   |
