Feature: A store that comes back from an older copy of itself

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
