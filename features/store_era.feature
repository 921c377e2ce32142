Feature: A store that comes back from an older copy of itself

  After a store was away for 0.8 s and came back from a copy 4 s old, no node took a key that was
  written then in 8 s, nor loaded a version: each reading of the range ended in "its page of 24 is
  older than the copy", since a revision was compared with one of the store's former history. Where
  enough was written at once that revisions passed the old ones, nodes went on with a copy that mixed
  two histories, and an engine whose record had gone got 14 to 19 requests, as its record was back.

  # Positions

  Scenario Outline: Which era an answer is of
    Given a node that knows era <known> of the store
    When an answer tells "<told>" as its era
    Then it is <taken>, and the node knows era <knows>

    Examples:
      | known | told                 | taken   | knows |
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

  Scenario: Numbers of an earlier era stand for nothing in a later one
    Given a node that knows era 3 of the store
    When an answer tells "4" as its era
    Then a condition on revision 7 of era 3 does not hold
    And lease 7 of era 3 is gone, and history after revision 7 of era 3 too
    And revision 7 of era 4 is higher than revision 70000 of era 3

  Scenario: A later era that a peer tells of is known before the store's own answer
    Given a node that knows era 3 of the store
    Then a condition on revision 7 of era 4 holds for the store's revision 7
    And an answer that tells "3" is refused

  Scenario: A copy comes into a later era by a whole reading alone
    Given a copy of era 3 with the keys a at 5, b at 9 and c at 12
    When changes of era 4 come: a at 6
    Then the copy is as before
    When a whole reading of era 4 comes: a at 5, b at 7
    Then the copy has a and b of era 4, is told to be restored, and lacks c
    When changes of era 3 come: c at 13
    Then the copy has a and b of era 4 alone

  Scenario: Readers tell their followers the era
    Then changes, snapshots and answers of eras 0, 1 and 8191 are the same when they are decoded

  Scenario: What names a revision that no store comes to is no message of a reader
    Then changes, snapshots and answers at revision 2 to the 41 are refused as malformed

  Scenario: A store whose answers come from two eras at the same time
    Given a stand-in platform with 1 desk engines and 1 model engines
    And a store that tells its era
    And 1 nodes
    When the store comes back, and every other answer of it still tells the era before for 1 s
    Then a key that is written meanwhile is in force within 2 s, and refused answers are counted

  # Nodes as separate processes

  Scenario: What was acknowledged holds, and what is written then is in force as soon as ever
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old
    And what operators and engines wrote is written again, and then a further key and version
    Then the further key is in force at all nodes within 2 s
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after its word, nor after the store was back
    And the whole range was read at most 4 times in the 2 s after the return
    And all of these callers were served

  Scenario: Revisions that are given out again are not taken for what they were
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old
    And 160 other records are written, and then all again with a further key and version
    Then the further key is in force at all nodes within 2 s
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after its word, nor after the store was back
    And all of these callers were served

  Scenario: One node gives orders in each era, and its fence never goes back
    Given a stand-in platform with 1 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    When versions are named while the store comes back from copies twice within 5 s
    Then all engines reach the last version, with fences that never go back and one holder each
