Feature: A store that comes back from an older copy while something else goes wrong

  The drill of store_era, with the trouble beside it that days of operation bring. What was acknowledged
  holds: an engine that had said that it leaves stays left alone, also where the copy calls it ready.

  Scenario Outline: What is written after the return is in force as soon as ever, though <trouble>
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old, while <trouble>
    And what operators and engines wrote is written again, and then a further key and version
    Then the further key is in force at all nodes within 2 s
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after its word, nor after the store was back
    And all of these callers were served

    Examples:
      | trouble                                  |
      | a node stands still                      |
      | another node starts                      |
      | the store answers two nodes 1.5 s later  |

  Scenario: A node that starts as the store comes back hears from the others what the copy lacks
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old, while a node that does not lead is killed and starts again
    And what operators and engines wrote is written again, and then a further key and version
    Then the further key is in force at all nodes within 2 s
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after the store was back
    And all of these callers were served, those of a node that started once it was ready

  Scenario: The leader is killed as the store goes away
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old, while the leader is killed and starts again
    And what operators and engines wrote is written again, and then a further key and version
    Then the further key is in force at all nodes within 2 s
    And all engines reach the last version, with fences that never go back and one holder each
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after the store was back

  Scenario: A machine sleeps through the return of the store
    Given a stand-in platform with 4 desk engines and 3 model engines
    And a store that tells its era
    And 4 nodes, the last on a machine that may sleep
    And callers that call all nodes on "whole" and "stream" and know where they called
    When keys, weights and engines change, and the store is away for 0.8 s and back from a copy 4 s old, while the machine sleeps
    And what operators and engines wrote is written again, and then a further key and version
    Then the further key is in force at all nodes within 2 s
    And the further version is loaded by all engines within 8 s
    And no engine that had left got a request later than 2 s after its word, nor after the store was back
