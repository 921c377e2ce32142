Feature: The platform's program where a zone has many nodes, as separate processes

  Background:
    Given a stand-in platform with 2 desk engines and 0 model engines
    And 6 nodes
    And two of the nodes read the store and the others follow them

  Scenario: Few nodes call the store, and what the operator does reaches all
    When 4 s pass in which nothing changes
    Then the store got at most 10 questions and 3 other calls in them
    When the operator takes the known key away
    Then within 1.5 s every node answers the known key with 401

  Scenario: A reader that stands still holds up nobody for long
    When a reader is paused
    And the operator takes the known key away
    Then within 2.5 s every node that runs answers the known key with 401

  Scenario: Followers of readers whose store refuses them read it themselves
    When the store refuses both readers
    And the operator takes the known key away
    Then within 4 s every follower answers the known key with 401

  Scenario: Nobody serves keys on the word of a reader that has no proof itself
    When the store is silent for all
    Then within 6 s every node answers the known key with 503
    When the store answers again
    Then within 4 s every node answers the known key with 200

  Scenario: A leaving reader hands its followers on
    When a reader is told to stop
    Then within 1.5 s no node that runs follows it
    When the operator takes the known key away
    Then within 1.5 s every node that runs answers the known key with 401

  Scenario: A node that the store refuses serves on, and learns of what the operator does
    When the store refuses one of the readers
    And 7 s pass in which nothing changes
    Then within 0.5 s every node answers the known key with 200
    When the operator takes the known key away
    Then within 3 s every node answers the known key with 401

  Scenario: Followers of readers whose watches have gone deaf learn in time that an engine leaves
    Given callers that call all nodes on "whole"
    When the watches go deaf, and an engine says that it leaves
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word

  Scenario: Followers of readers whose watches are cut together learn in time that an engine leaves
    Given callers that call all nodes on "whole"
    When the watches hear nothing for 1 s, in which an engine says that it leaves, and are cut
    And callers go on for 3.5 s
    Then no request reached that engine later than 2 s after its word
