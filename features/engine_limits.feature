Feature: Limits that engines name for all nodes together

  # Where it is named

  Scenario Outline: A limit is missed in an answer that names it
    Given an engine that names a limit of 2.5 a second in the <answer> alone
    When a node sends it what brings that answer
    Then the node has heard a limit of 2.5 a second

    Examples:
      | answer             |
      | whole answer       |
      | head of a stream   |
      | refusal            |
      | report             |
      | answer to an order |

  Scenario Outline: A value that can't be read is taken for a limit, or for the end of one
    Given an engine whose answers have <headers>
    Then they name a limit of <limit>, and <end> end one

    Examples:
      | headers                              | limit  | end   |
      | Server-Limit: 0                      | 0      | don't |
      | Server-Limit: 0.25                   | 0.25   | don't |
      | Server-Limit: 999999999              | 1e9    | don't |
      | Server-Limit: 1e9                    | none   | don't |
      | Server-Limit: -1                     | none   | don't |
      | Server-Limit: nan                    | none   | don't |
      | Server-Limit: inf                    | none   | don't |
      | Server-Limit: few                    | none   | don't |
      | Server-Limit:                        | none   | don't |
      | Server-Limit: 3, Server-Limit: 1     | 1      | don't |
      | Server-Limit: 3, Server-Limit: few   | 3      | don't |
      | 503, Retry-After: 3, Server-Limit: 2 | 2      | don't |
      | Server-Leaving: 1, Server-Limit: 2   | 2      | don't |
      | Server-Leaving: 0                    | none   | do    |

  # What is remembered

  Scenario Outline: A limit is forgotten
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 1 a second in an answer
    And <news>
    Then a gets requests with permits only, and b without

    Examples:
      | news                                             |
      | its record is written again                      |
      | its record goes and comes back                   |
      | its record goes while the store is away and back |
      | its record is spoiled and good again             |
      | its record comes back with an older revision     |
      | a reader's copy is taken over whole              |
      | an answer without a limit comes to an earlier request |
      | a late end of an earlier limit is told           |

  Scenario: An engine that starts again under its id is held to its former limit
    Given a node that knows engines a and b with the weights of version 1
    And both tell when they started
    When a names a limit of 1 a second in an answer
    And the entry of a is written again with born = 1700000009000
    Then a and b get requests without permits

  Scenario: A node that joins is not told of a limit
    Given a node that knows engines a and b with the weights of version 1
    When a node joins that was told of a limit of 1 a second by others
    Then a gets requests with permits only, and b without

  Scenario: Limits are remembered without bound
    Given a node that knows engines a and b with the weights of version 1
    When 5000 other engines name a limit
    Then 4096 limits are remembered
    When 700 s go by for limits
    Then 0 limits are remembered

  Scenario Outline: A permit is used long after it was asked for
    Given a node that asks for a permit at 0 s
    When the answer comes at <answered> s
    Then the permit is <at_answer> then, and not usable at <later> s

    Examples:
      | answered | at_answer  | later |
      | 0.05     | usable     | 0.6   |
      | 0.4      | usable     | 0.6   |
      | 0.7      | not usable | 0.8   |

  Scenario: Late answers to requests of before end a limit
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 20 a second in an answer
    And 3 requests get permits, an answer names the limit, and theirs come then without it
    Then a gets requests with permits only, and b without
    When 3 requests get permits, and their answers come without it
    Then a and b get requests without permits

  # Where a request reaches an engine

  Scenario: A request that waits for its connection is sent without a permit
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When it names a limit while the connection comes up
    Then the engine gets nothing, and the request is sent to another engine

  Scenario: A run goes on with its copy, or keeps one, at an engine without a permit
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 1 a second in an answer
    Then a run goes on at a once its permit is there, and with none it does not
    And copies are kept at b rather than at a

  Scenario: A request that is tried again waits for a permit
    Given a node that knows engines a and b with the weights of version 1
    And another node issues the permits of a
    When a names a limit of 1 a second in an answer
    Then a request that b turned away finds no engine left to wait for

  Scenario: A request waits for a permit while other engines have room
    Given a node that knows engines a and b with the weights of version 1
    And another node issues the permits of a
    When a names a limit of 1 a second in an answer
    Then a request that prefers a waits 0.1 s at most, and is sent to b

  Scenario: A request waits in vain while all engines are limited
    Given a node that knows engines a and b with the weights of version 1
    When both name a limit of 0.5 a second, and their first permits are used
    Then a request is refused at once, with the time until there is a permit again

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

  Scenario: A limit is exceeded in some history of ends, freezes, restarts, cuts and losses
    When histories of nodes that share a limit are drawn at random
    Then in none of them the engine got more from all nodes together than the rule allows

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
      | 4     |

  Scenario: A limit that an engine names only as it turns requests away is exceeded
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind turns away 7 of 10 requests, and names a limit of 1 a second as it does
    And these callers go on for 7 s
    Then nodes that know the limit sent such an engine together no more than the rule allows
    And at least 0.98 of these callers were served

  Scenario: A limit is exceeded as the engine's record goes and a node starts again
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind names a limit of 2 a second in its answers
    And their records go for 1 s and are back
    And the last node is killed and starts again under these callers
    And these callers go on for 4 s
    Then nodes that know the limit sent such an engine together no more than it allows

  Scenario: Callers wait in vain where all engines are limited
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When all engines name a limit of 2 a second in their answers
    And these callers go on for 7 s
    Then nodes that know the limit sent such an engine together no more than it allows
    And at least half of what it allows was used
    And those that were refused were told when to come back, after 0.3 s at most

  Scenario Outline: A peer's datagram with a limit that is no number stops or breaks a node
    Given a datagram of a peer that tells a limit of <rate> a second
    Then the limit is <taken>

    Examples:
      | rate | taken   |
      | 0    | taken   |
      | 2.5  | taken   |
      | -1   | refused |
      | nan  | refused |
      | inf  | refused |
