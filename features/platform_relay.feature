Feature: The platform's program in a zone with many nodes, as separate processes

  Background:
    Given a stand-in platform with 2 desk engines and 0 model engines
    And 6 nodes
    And two of the nodes read the store and the others follow them

  Scenario: Few nodes call the store, and changes of the operator reach all
    When nothing changes for 4 s
    Then the store got at most 10 key reads and 3 other calls meanwhile
    When the operator revokes the known key
    Then within 1.5 s every node answers the known key with 401

  Scenario: A paused reader delays no node for long
    When a reader is paused
    And the operator revokes the known key
    Then within 2.5 s every running node answers the known key with 401

  Scenario: Followers of readers that the store refuses read the store themselves
    When the store refuses both readers
    And the operator revokes the known key
    Then within 4 s every follower answers the known key with 401

  Scenario: No node accepts keys by a reader that has no current proof itself
    When the store stops responding to all nodes
    Then within 6 s every node answers the known key with 503
    When the store answers again
    Then within 4 s every node answers the known key with 200

  Scenario: A reader that shuts down hands its followers over
    When a reader is asked to stop
    Then within 1.5 s no running node follows it
    When the operator revokes the known key
    Then within 1.5 s every running node answers the known key with 401

  Scenario: A node that the store refuses goes on serving, and gets changes of the operator
    When the store refuses one of the readers
    And nothing changes for 7 s
    Then within 0.5 s every node answers the known key with 200
    When the operator revokes the known key
    Then within 3 s every node answers the known key with 401

  Scenario: Followers of readers whose watches deliver nothing learn in time that an engine drains
    Given callers that call all nodes on "whole"
    When the watches stop delivering changes, and an engine starts to drain
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change

  Scenario: Followers of readers whose watches are cut together learn in time that an engine drains
    Given callers that call all nodes on "whole"
    When the watches get no changes for 1 s, during which an engine starts to drain, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after that change
