Feature: In a zone with many nodes a few read the store, and the others follow them

  Scenario Outline: How many nodes of a zone read the store
    Given a zone of <nodes> nodes
    Then <readers> of them read the store
    And each of the others follows one, no reader more than <most> of them

    Examples:
      | nodes | readers | most |
      | 3     | 3       | 0    |
      | 4     | 4       | 0    |
      | 5     | 2       | 3    |
      | 26    | 2       | 18   |

  Scenario: A small fleet in small zones reads the store itself: it may refuse any few of the nodes
    Given a region of 8 nodes in 4 zones
    Then 8 of them read the store

  Scenario: A reader that fails is left alone for a while, and without any the store is read
    Given a zone of 8 nodes
    When the reader that a node follows fails it
    Then the node follows the other reader
    When the reader that a node follows fails it
    Then the node reads the store itself
    When 6 s pass
    Then the node follows a reader again

  Scenario: A reader that failed once is followed again soon, one that goes on failing later
    Given a zone of 8 nodes
    When the same reader fails a node 1 times, each time as soon as it is followed again
    Then that reader is followed again after 1 s
    When the same reader fails a node 3 times, each time as soon as it is followed again
    Then that reader is followed again after 4 s
    When the same reader fails a node 9 times, each time as soon as it is followed again
    Then that reader is followed again after 8 s

  Scenario Outline: A node that starts reads the store once, and watches it only if it must
    Given a store whose calls are counted, and a node that learns <when> whom to follow
    When the node runs for 1.6 s
    Then the store was read <reads> times and watched <watches> times
    And the node's configuration is proven

    Examples:
      | when        | reads | watches |
      | after 0.4 s | 1     | 0       |
      | never       | 1     | 1       |

  Scenario: A node that the store does not answer follows others, wherever it is
    Given a zone of 3 nodes
    When the store does not answer one of them
    Then it follows 3 other nodes one after the other, and then none
    And those of its own zone come first
    And one that serves it is left after 5 s to try the store again

  Scenario: A dead or leaving reader is replaced on every node alike
    Given a zone of 8 nodes
    When a reader dies
    Then 2 of them read the store
    And the dead one is followed by nobody

  Scenario: An item that was removed does not return from a copy that is behind
    Given a mirror at revision 10 from which "engine" was removed at 9
    When a reader that is behind tells of "engine" as written at 7
    Then the mirror does not have "engine"

  Scenario: A log of changes serves copies that it can bring forward without a gap
    Given a log of changes with batches up to revisions 10, 12 and 15 after 8
    Then a copy at 10 lacks the batches up to 12 and 15
    And a copy at 15 lacks none
    And a copy at 7 cannot be served
    When it holds no more than 2 changes
    Then a copy at 8 cannot be served

  Scenario: A proof of a peer is as old as it was before the question, however late it comes
    Given a configuration in force at version 5
    When a peer asked at 100 s answers with version 5 and a proof 1.2 s old
    Then the proof is 3.2 s old at 102 s
    When a peer asked at 103 s answers with version 4 and a proof 0.1 s old
    Then the proof is 4.2 s old at 103 s

  Scenario: A follower gets all there is, then each change, and resumes where it was
    Given a reader with 300 items, one of them of 200000 bytes
    When a follower follows it
    Then the follower has the 300 items
    When the reader learns of a written and of a removed item
    Then the follower has them too, with the same revision
    When the follower loses it, and the reader learns of 3 more items
    And the follower follows it again
    Then the follower has all of the reader's items without reading them all again

  Scenario Outline: A reader that cannot be relied on is given up within a second
    Given a reader with 3 items
    When a follower follows it
    And the reader can no longer be relied on: it <fails>
    Then the follower gives it up within <seconds> s

    Examples:
      | fails                  | seconds |
      | falls silent           | 1.2     |
      | has no fresh proof     | 0.8     |
      | sends what is no message | 0.5   |
      | closes                 | 0.5     |

  Scenario: A follower that does not take what it is sent is cut off
    Given a reader with 3 items
    When a follower follows it and stops reading
    And the reader learns of 40 items of 2000000 bytes each
    Then the reader has no followers, and holds less than 20 MB for any

  Scenario: While the store does not answer, requests make a node ask no more often than usual
    Given a node whose proof ran out, and a store that fails after 0.1 s
    When requests with keys come for 3.5 s
    Then the store was asked at most 4 times
    When the failing store is mended
    Then the node has a proof within 3 s

  Scenario Outline: A node that stood still asks for a proof at once, and waits a little for it
    Given a follower whose proof ran out while it stood still, and a store that answers in <delay> s
    When requests with keys come
    Then they are served: <served>
    And the store was asked 1 time

    Examples:
      | delay | served |
      | 0.01  | yes    |
      | 0.3   | no     |
