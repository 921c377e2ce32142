Feature: Limits that engines name for all nodes together

  # Nodes as separate processes

  Scenario Outline: Nodes send an engine together more than the limit that it names
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind names a limit of <limit> a second in its answers
    And these callers go on for 7 s
    Then nodes that know the limit sent such an engine together no more than it allows
    And at least half of what it allows was used
    And at least 0.98 of these callers were served

    Examples:
      | limit |
      | 1     |
      | 4     |
