Feature: Callers are distributed by the capacity of nodes

  A caller opens each new connection to a random one of the nodes in its answer. The simulations have
  three zones of 32 nodes of three sizes each (1.8, 0.6 and 0.3 cores), with waves of load that are
  out of phase. Callers use an answer for 1 to 5 s, and send half of their requests over persistent
  connections.

  Scenario Outline: Nodes of each size get work in proportion to their capacity
    Given callers at <load> of the capacity of all nodes
    When callers send requests for 30 s
    Then each size of nodes has its share of the work, within 10 %
    And callers move at most 16 % of their persistent connections per second

    Examples:
      | load |
      | 0.6  |
      | 0.8  |
      | 1.0  |
      | 1.2  |
      | 1.5  |

  Scenario: The most delayed node lags by a fraction of its lag without weights
    Given callers at 0.6 of the capacity of all nodes
    When callers send requests for 30 s
    Then the mean lag is at most 0.4 s for the most delayed node, and 0.02 s for all nodes
    And without weights the mean lag is at least 1.5 s for the most delayed node, and 0.2 s for all nodes

  Scenario: A zone above its capacity spills over to the other zones
    Given callers at 0.7 of the capacity of all nodes, half of them in one zone
    When callers send requests for 30 s
    Then that zone's nodes have at most 46 % of the work
    And the mean lag is a fifth less than without spillover between zones

  Scenario: A zone within its capacity keeps its own callers
    Given callers at 0.6 of the capacity of all nodes
    When callers send requests for 30 s
    Then no caller is given a node of another zone

  Scenario: Similar nodes are all given to every caller, in the order of membership
    Given 70 nodes of one zone that report the same capacity, and use from 0 to 90 % of it
    Then every caller is given the first 64 of them in their order
    And the same holds if no node reports its load

  Scenario: A late node among similar ones is given to fewer callers until it is on time
    Given 20 nodes of one zone that report the same capacity, and use from 0 to 90 % of it
    When one of them reports a lag of 0.5 s
    Then it is given to some callers, and to at most a third of them
    When one of them reports a lag of 0.01 s
    Then every caller is given the first 20 of them in their order

  Scenario: A node that is nearly out of memory is given to fewer callers
    Given 20 nodes of one zone that report the same capacity, and use from 0 to 90 % of it
    When one of them reports 4 MB of free memory
    Then it is given to some callers, and to at most a third of them

  Scenario: Answers are stable, and equal from nodes with the same information
    Given 32 nodes of one zone and three sizes
    Then a caller gets the same answer from two nodes, and 10 s later
    And every answer has 8 nodes, each of them once

  Scenario: A node that does not report counts with the median capacity of the others
    Given 32 nodes of one zone and three sizes
    When the reports of a node of 1.8 cores are lost for 1.5 s
    Then its capacity counts as 0.3 cores

  Scenario: Concurrent callers of a zone are spread over its nodes
    Given 32 nodes of one zone and three sizes
    When 2000 callers of it ask at the same time
    Then each node is given to its share of the callers, within 15 %

  Scenario: Half of a zone's nodes stop at the same time
    Given callers at 0.35 of the capacity of all nodes
    When callers send requests for 10 s
    And half of the nodes of a zone stop
    And callers send requests for 4 s
    Then no request went to a stopped node later than 3 s after that
    And no node lags by more than 0.5 s in the last second

  Scenario: A large node of a zone stops
    Given callers at 0.5 of the capacity of all nodes
    When callers send requests for 10 s
    And a node of 1.8 cores stops
    And callers send requests for 4 s
    Then no request went to a stopped node later than 3 s after that
    And no node lags by more than 0.5 s in the last second

  Scenario: A node that comes back is ramped up
    Given 32 nodes of one zone and three sizes
    When a node of 1.8 cores reports again after 10 s
    Then it is given to fewer than half as many callers as before
    And 3 s later it is given to as many as before

  Scenario Outline: Reports are lost
    Given callers at 0.6 of the capacity of all nodes, with <lost> % of the reports lost
    When callers send requests for 30 s
    Then each size of nodes has its share of the work, within <within> %

    Examples:
      | lost | within |
      | 5    | 10     |
      | 30   | 15     |

  Scenario: A node whose link carries a tenth of what the node reports
    Given callers at 0.5 of the capacity of all nodes, and a node of 0.6 cores with a slow link
    When callers send requests for 20 s
    Then that node does at most half of the work of others of its size

  Scenario: The capacity of a node is limited by its processor or its link
    Given a machine of 2.0 cores with a link of 1000000 bytes a second
    When it serves 100 requests of 18800 bytes per second for 30 s, with 3 ms of processor time each
    Then its capacity is 0.15 cores, within a fifth
    And all of it is in use

  Scenario: The lag of a loop that was late once decays soon
    Given a machine of 0.4 cores with a link of 0 bytes a second
    When a tick comes 0.6 s late
    Then it reports a lag of 0.6 s
    And 1.25 s later it reports a lag of less than 0.1 s

  Scenario: A machine that gets less processor time than its settings say is found to be saturated
    Given a machine of 2.0 cores with a link of 0 bytes a second
    When its ticks come 0.3 s late for 10 s while it uses 0.7 cores
    Then it reports that all of its capacity is in use

  Scenario Outline: A node that lags more than the others sheds connections, then requests
    Given a node whose last <ticks> ticks were late by <late> s, and others with a lag of <others> s
    Then it <closes> connections and <refuses> requests

    Examples:
      | ticks | late | others | closes | refuses |
      | 4     | 0.2  | 0      | keeps  | takes   |
      | 4     | 0.4  | 0      | closes | takes   |
      | 4     | 1.2  | 0.05   | closes | refuses |
      | 1     | 1.2  | 0      | keeps  | takes   |
      | 4     | 1.2  | 0.9    | keeps  | takes   |

  Scenario: A node stops load shedding once it is on time
    Given a node whose last 4 ticks were late by 1.2 s, and others with a lag of 0 s
    When it is on time for 2 s
    Then it keeps connections and takes requests
    And refused callers are told to retry after 0.1 to 0.4 s

  Scenario: Work besides requests goes to nodes with enough capacity
    Given 3 zones with 2 nodes of 1800, 6 of 600 and 24 of 300 millicores each
    Then delegates, store readers and leader candidates have at least 600 millicores
    And nodes that know the members in another order select the same ones
    When all nodes of 1800 and 600 millicores stop
    Then there are as many delegates, readers and candidates as before

  Scenario: Similar machines, and those that report nothing, are selected by rank alone
    Given 3 zones with 10 nodes of 500, 10 of 520 and 10 of 0 millicores each
    Then delegates, store readers and leader candidates are the first of all by rank

  Scenario: The membership record contains the capacity of the machine
    Given a member of 387 millicores
    Then its decoded record has that capacity, and a record of an older version has 0

  Scenario: The load of a node is part of its load report, however long that is
    Given a report on 40 engines of a node with 0.387 cores of which 0.2 are in use
    Then the decoded report has the same load of the node
    And a report of an older version has no load of the node
