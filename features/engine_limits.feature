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

  # Many nodes, in virtual time

  Scenario Outline: A small limit is exceeded by many nodes, or left unused
    Given <nodes> nodes and an engine that names a limit of <limit> a second
    And callers that ask <calls> times a second
    When callers ask all nodes for 20 s
    Then the engine gets no more from all nodes together than it allows
    And at least 0.8 of what it allows is used from 2 s on

    Examples:
      | nodes | limit | calls |
      | 7     | 1     | 60    |
      | 16    | 1     | 60    |
      | 86    | 1     | 200   |
      | 350   | 1     | 400   |
      | 16    | 0.25  | 60    |
      | 7     | 6     | 60    |
      | 86    | 40    | 400   |

  Scenario Outline: A limit is left unused where callers ask at one node alone
    Given 16 nodes and an engine that names a limit of <limit> a second
    When callers ask one node for 20 s
    Then the engine gets no more from all nodes together than it allows
    And at least 0.8 of what it allows is used from 2 s on

    Examples:
      | limit |
      | 1     |
      | 6     |

  Scenario Outline: A limit is exceeded while nodes or the network between them fail
    Given 16 nodes and an engine that names a limit of <limit> a second
    When callers ask all nodes for 20 s while <trouble>
    Then the engine gets no more from all nodes together than it allows
    And at least 0.5 of what it allows is used from 2 s on

    Examples:
      | limit | trouble                                          |
      | 1     | the issuer of its permits ends                   |
      | 6     | the issuer of its permits ends                   |
      | 1     | the issuer of its permits freezes twice          |
      | 6     | the issuer of its permits freezes twice          |
      | 6     | the issuer of its permits starts again and again |
      | 1     | a node starts again every 2 s                    |
      | 6     | a node starts again every 2 s                    |
      | 1     | the nodes are cut in two halves                  |
      | 6     | the nodes are cut in two halves                  |
      | 6     | the issuer is cut off from the others            |

  Scenario Outline: A limit is exceeded, or left unused, where datagrams are lost or late
    Given 16 nodes and an engine that names a limit of <limit> a second
    And datagrams of which <lost> are lost and others are <late> s late
    When callers ask all nodes for 20 s
    Then the engine gets no more from all nodes together than it allows
    And at least <share> of what it allows is used from 2 s on

    Examples:
      | limit | lost | late | share |
      | 1     | 0.3  | 0    | 0.5   |
      | 6     | 0.3  | 0    | 0.5   |
      | 6     | 0    | 0.03 | 0.5   |
      | 6     | 0    | 1    | 0     |
      | 6     | 1    | 0    | 0     |

  Scenario: A limit that changes is followed late
    Given 16 nodes and an engine that names a limit of 8 a second
    And the engine names in turn 8, 1, 0.5, 4 for 6 s each
    When callers ask all nodes for 24 s
    Then in each of these times it gets no more than it named last

  Scenario Outline: An engine that names its limit no more is not used in full again
    Given 16 nodes and an engine that names a limit of <limit> a second
    And the engine names its limit until 8 s, and no longer
    When callers ask all nodes for 24 s
    Then it is in full use again within <seconds> s after that

    Examples:
      | limit | seconds |
      | 0     | 10      |
      | 0.25  | 10      |
      | 1     | 5       |
      | 6     | 3       |

  Scenario: A limit that is named in some of the answers only is taken for over
    Given 16 nodes and an engine that names a limit of 1 a second
    And the engine names it in 0.7 of its answers
    When callers ask all nodes for 40 s
    Then the engine gets no more from all nodes together than the rule allows
