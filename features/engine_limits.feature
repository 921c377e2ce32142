Feature: Rate limits that engines set for all nodes together

  Scenarios are named after the fault that they guard against. An engine names a limit of requests
  a second in its answers; the nodes share it by permits that one of them issues.

  # Kinds of answers

  Scenario Outline: A limit in some kind of answer is not read
    Given an engine that names a limit of 2.5 a second in the <answer> alone
    When a node sends it a call that gets this answer
    Then the node has read a limit of 2.5 a second

    Examples:
      | answer             |
      | whole answer       |
      | head of a stream   |
      | refusal            |
      | report             |
      | answer to an order |

  Scenario Outline: An invalid value is taken for a limit, or for the end of one
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

  # Remembered state

  Scenario Outline: A limit is forgotten
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 1 a second in an answer
    And <change>
    Then a gets requests with permits only, and b without

    Examples:
      | change                                                         |
      | its record is written again                                    |
      | its record is removed and written again                        |
      | its record is removed during a store outage and written again  |
      | its record becomes invalid and valid again                     |
      | its record is removed and written again with an older revision |
      | the snapshot of a store reader is applied                      |
      | an earlier request gets an answer without a limit              |
      | a peer reports late that an earlier limit ended                |

  Scenario: The limit before an engine's restart is still applied after it
    Given a node that knows engines a and b with the weights of version 1
    And both record their start time
    When a names a limit of 1 a second in an answer
    And the record of a is written again with born = 1700000009000
    Then a and b get requests without permits

  Scenario: A node that joins does not learn of a limit
    Given a node that knows engines a and b with the weights of version 1
    When a node joins and learns of a limit of 1 a second from its peers
    Then a gets requests with permits only, and b without

  Scenario: The number of remembered limits is unbounded
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

  Scenario: Late answers to earlier requests end a limit
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 20 a second in an answer
    And 3 requests get permits, another answer names the limit, then theirs come without it
    Then a gets requests with permits only, and b without
    When 3 requests get permits, and their answers come without it
    Then a and b get requests without permits

  # Use of permits

  Scenario: A request that waits for its connection is sent without a permit
    Given an engine whose connections take 0.2 s to come up
    And a node that has chosen it for a request that may not be repeated
    When it names a limit while the connection comes up
    Then the engine gets nothing, and the request is sent to another engine

  Scenario: A run resumes at its backup, or gets a backup, at an engine without a permit
    Given a node that knows engines a and b with the weights of version 1
    When a names a limit of 1 a second in an answer
    Then a run resumes at a with a permit, and not without one
    And b rather than a is chosen as a backup

  Scenario: A retried request waits for a permit
    Given a node that knows engines a and b with the weights of version 1
    And another node issues the permits of a
    When a names a limit of 1 a second in an answer
    Then a request that b refused finds no engine left to wait for

  Scenario: A request waits for a permit while other engines have capacity
    Given a node that knows engines a and b with the weights of version 1
    And another node issues the permits of a
    When a names a limit of 1 a second in an answer
    Then a request that prefers a waits 0.1 s at most, and is sent to b

  Scenario: A request waits for a permit that comes too late while all engines are limited
    Given a node that knows engines a and b with the weights of version 1
    When both name a limit of 0.5 a second, and their first permits are used
    Then a request is refused at once, with the time until the next permit

  # Many nodes, in virtual time

  Scenario Outline: A small limit is exceeded by many nodes, or left unused
    Given <nodes> nodes and an engine that names a limit of <limit> a second
    And callers that send <calls> requests a second
    When callers call all nodes for 20 s
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

  Scenario Outline: A limit is left unused where callers call one node alone
    Given 16 nodes and an engine that names a limit of <limit> a second
    When callers call one node for 20 s
    Then the engine gets no more from all nodes together than it allows
    And at least 0.8 of what it allows is used from 2 s on

    Examples:
      | limit |
      | 1     |
      | 6     |

  Scenario Outline: A limit is exceeded while nodes or the network between them fail
    Given 16 nodes and an engine that names a limit of <limit> a second
    When callers call all nodes for 20 s while <fault>
    Then the engine gets no more from all nodes together than it allows
    And at least 0.5 of what it allows is used from 2 s on

    Examples:
      | limit | fault                                         |
      | 1     | the issuer of its permits is killed           |
      | 6     | the issuer of its permits is killed           |
      | 1     | the issuer of its permits freezes twice       |
      | 6     | the issuer of its permits freezes twice       |
      | 6     | the issuer of its permits restarts repeatedly |
      | 1     | a node restarts every 2 s                     |
      | 6     | a node restarts every 2 s                     |
      | 1     | a partition splits the nodes in two halves    |
      | 6     | a partition splits the nodes in two halves    |
      | 6     | a partition isolates the issuer               |

  Scenario Outline: A limit is exceeded, or left unused, where datagrams are lost or late
    Given 16 nodes and an engine that names a limit of <limit> a second
    And datagrams of which <lost> are lost and others are <late> s late
    When callers call all nodes for 20 s
    Then the engine gets no more from all nodes together than it allows
    And at least <share> of what it allows is used from 2 s on

    Examples:
      | limit | lost | late | share |
      | 1     | 0.3  | 0    | 0.5   |
      | 6     | 0.3  | 0    | 0.5   |
      | 6     | 0    | 0.03 | 0.5   |
      | 6     | 0    | 1    | 0     |
      | 6     | 1    | 0    | 0     |

  Scenario: A limit is exceeded in some history of kills, freezes, restarts, partitions and losses
    When histories of nodes that share a limit are drawn at random
    Then in none of them the engine got more from all nodes together than the rule allows

  Scenario: A limit that changes is followed late
    Given 16 nodes and an engine that names a limit of 8 a second
    And the engine names in turn 8, 1, 0.5, 4 for 6 s each
    When callers call all nodes for 24 s
    Then in each of these times it gets no more than it named last

  Scenario Outline: An engine that stops naming its limit stays limited
    Given 16 nodes and an engine that names a limit of <limit> a second
    And the engine names its limit until 8 s, and no longer
    When callers call all nodes for 24 s
    Then it is in full use again within <seconds> s after that

    Examples:
      | limit | seconds |
      | 0     | 10      |
      | 0.25  | 10      |
      | 1     | 5       |
      | 6     | 3       |

  Scenario: A limit that is named only in some answers is taken for ended
    Given 16 nodes and an engine that names a limit of 1 a second
    And the engine names it in 0.7 of its answers
    When callers call all nodes for 40 s
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

  Scenario: A limit that an engine names only in refusals is exceeded
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind refuses 7 of 10 requests, and names a limit of 1 a second in the refusals
    And these callers go on for 7 s
    Then nodes that know the limit sent such an engine together no more than the rule allows
    And at least 0.98 of these callers were served

  Scenario: A limit is exceeded when the engine's record is removed and a node restarts
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind names a limit of 2 a second in its answers
    And their records are removed for 1 s and written again
    And the last node is killed and restarts while these callers go on
    And these callers go on for 4 s
    Then nodes that know the limit sent such an engine together no more than it allows

  Scenario: Callers wait for permits that come too late while all engines are limited
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 3 nodes
    And callers that call all nodes on "whole" and "stream" and know where they called
    When all engines name a limit of 2 a second in their answers
    And these callers go on for 7 s
    Then nodes that know the limit sent such an engine together no more than it allows
    And at least half of what it allows was used
    And those that were refused were told when to retry, after 0.3 s at most

  Scenario Outline: A peer's datagram with an invalid limit crashes a node
    Given a datagram of a peer that reports a limit of <rate> a second
    Then the limit is <taken>

    Examples:
      | rate | taken   |
      | 0    | taken   |
      | 2.5  | taken   |
      | -1   | refused |
      | nan  | refused |
      | inf  | refused |
