Feature: All nodes are killed at once under streams, and start again

  Guards against streams that hold events of engines of two software versions because no node is
  left that knows which version began them.

  Scenario: Streams go on at another version after all nodes restarted and the engines of theirs ended
    Given 4 engines of version v1.1 and 4 of version v1.2 in processes of their own
    And 4 nodes before them, which have been ready for 2 s
    When 40 streams have begun, all nodes are killed, the engines of v1.1 crash, and the nodes start again
    And the callers resume their streams until they are complete or refused for 6 s
    Then no stream holds events of two versions
