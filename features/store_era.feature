Feature: A store that is restored from an older copy

  A restored store assigns revisions again that it had used for other changes. Nodes that compared
  them with revisions from before the restore ignored new keys and weight versions: after an outage
  of 0.8 s and a restore from a copy 4 s old none took effect within 8 s, as each read of the range
  failed with "its page of 24 is older than the copy". Where enough writes followed that the new
  revisions passed the old ones, nodes mixed records of both histories, and an engine whose record
  had been removed, but was part of the copy, got 14 to 19 requests.

  # Positions

  Scenario Outline: The era that an answer reports
    Given a node that knows era <known> of the store
    When an answer reports era "<reported>"
    Then it is <taken>, and the node knows era <knows>

    Examples:
      | known | reported             | taken   | knows |
      | none  |                      | taken   | none  |
      | none  | 3                    | taken   | 3     |
      | none  | 0                    | taken   | 0     |
      | 0     | 1                    | taken   | 1     |
      | 3     | 3                    | taken   | 3     |
      | 3     | 4                    | taken   | 4     |
      | 3     | 13                   | taken   | 13    |
      | 3     | 2                    | refused | 3     |
      | 3     |                      | refused | 3     |
      | 3     | four                 | refused | 3     |
      | 3     | -4                   | refused | 3     |
      | 3     | 99999999999999999999 | refused | 3     |

  Scenario: Revisions and leases of an earlier era are not valid in a later one
    Given a node that knows era 3 of the store
    When an answer reports era "4"
    Then a condition on revision 7 of era 3 does not hold
    And lease 7 of era 3 is gone, and history after revision 7 of era 3 too
    And revision 7 of era 4 is higher than revision 70000 of era 3

  Scenario: A later era can be learned from a peer before the store reports it
    Given a node that knows era 3 of the store
    Then a condition on revision 7 of era 4 holds for the store's revision 7
    And an answer that reports era "3" is refused

  Scenario: A copy enters a later era only by a complete read of the range
    Given a copy of era 3 with the keys a at 5, b at 9 and c at 12
    When changes of era 4 arrive: a at 6
    Then the copy is unchanged
    When a complete read of era 4 arrives: a at 5, b at 7
    Then the copy has a and b of era 4, is reported as restored, and lacks c
    When changes of era 3 arrive: c at 13
    Then the copy has a and b of era 4 alone

  Scenario: Relay messages contain the era
    Then changes, snapshots and answers of eras 0, 1 and 8191 are unchanged after encoding and decoding

  Scenario: Relay messages with a revision out of range are refused
    Then changes, snapshots and answers at revision 2 to the 41 are refused as malformed

  Scenario: A store whose answers report two eras in turn
    Given a stand-in platform with 1 desk engines and 1 model engines
    And a store that reports its era
    And 1 nodes
    When the store is restored, and every other answer still reports the previous era for 1 s
    Then a key that is written meanwhile is accepted within 2 s, and refused answers are counted

  # Nodes as separate processes

  Scenario: Acknowledged changes hold, and changes after the restore take effect in the usual time
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old
    And operators and engines write the lost records again, then a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after it left, nor after the restore
    And the whole range was read at most 4 times in the 2 s after the restore
    And all of these callers were served

  Scenario: Revisions that are assigned again are not mistaken for the earlier ones
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is unavailable for 0.8 s and restored from a copy 4 s old
    And 160 other records are written, then the lost records and a further key and version
    Then all nodes accept the further key within 2 s
    And all engines load the further version within 8 s
    And no engine that left got a request later than 2 s after it left, nor after the restore
    And all of these callers were served

  Scenario: One node per fence sends load orders, and fences never decrease
    Given a stand-in platform with 1 desk engines and 3 model engines
    And a store that reports its era
    And 4 nodes
    When versions are published while the store is restored from copies twice within 5 s
    Then all engines load the last version, with fences that never decrease and one holder per fence
