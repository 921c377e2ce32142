Feature: A store that is restored from an older copy during another failure

  The restore of store_era.feature, together with another failure. Acknowledged changes hold: an
  engine that is draining gets no requests, even if its record in the copy says that it is ready.

  Scenario Outline: Changes after the restore take effect in the usual time while <trouble>
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old, while <trouble>
    And operators and engines write the lost records again, then a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after it left, nor after the restore
    And all of these callers were served

    Examples:
      | trouble                                  |
      | a node is paused                         |
      | another node starts                      |
      | the store answers two nodes 1.5 s later  |

  Scenario: A node that starts during the restore learns from the other nodes what the copy lacks
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old, while a node that does not lead is killed and starts again
    And operators and engines write the lost records again, then a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after the restore
    And all of these callers were served, those of the restarted node once it was ready

  Scenario: The leader is killed when the store becomes unavailable
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old, while the leader is killed and starts again
    And operators and engines write the lost records again, then a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the last version, with fences that never decrease and one holder per fence
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after the restore

  Scenario: A machine is suspended during the restore
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes, the last on a machine that can be suspended
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old, while the machine is suspended
    And operators and engines write the lost records again, then a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after it left, nor after the restore
