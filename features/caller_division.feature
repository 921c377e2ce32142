Feature: Callers are divided by what nodes can bear

  A caller opens each new connection to one of the nodes it was named, by chance. In the replays three
  zones with 32 nodes of three sizes each (1.8, 0.6 and 0.3 cores) have waves of work out of step;
  callers keep an answer for 1 to 5 s, and half of their requests go over connections that they keep.

  Scenario Outline: Each size of nodes gets the work that it can bear
    Given callers at <load> of what all nodes can bear
    When callers call for 30 s
    Then each size of nodes has its part of the work, within 10 in 100
    And callers leave at most 16 in 100 of their kept connections a second

    Examples:
      | load |
      | 0.6  |
      | 0.8  |
      | 1.0  |
      | 1.2  |
      | 1.5  |

  Scenario: The latest node is late by a fraction of what it is where all nodes are named alike
    Given callers at 0.6 of what all nodes can bear
    When callers call for 30 s
    Then the latest node is late by 0.4 s at most in the mean, and all nodes by 0.02 s
    And where all nodes are named alike the latest is late by 1.5 s at least, and all by 0.2 s

  Scenario: A zone that has more to do than it can bear is helped by the others
    Given callers at 0.7 of what all nodes can bear, half of them in one zone
    When callers call for 30 s
    Then that zone's nodes have no more than 46 in 100 of the work
    And nodes are late by a fifth less in the mean than where zones don't help each other

  Scenario: A zone that can bear its callers sends none of them away
    Given callers at 0.6 of what all nodes can bear
    When callers call for 30 s
    Then nobody is named a node of another zone

  Scenario: Where nodes are alike all of them are named, in the order of membership
    Given 70 nodes of one zone that tell the same capacity, and use from 0 to 90 in 100 of it
    Then every caller is named the first 64 of them in their order
    And so it is where nobody tells anything

  Scenario: Among nodes that are alike one that is late is named less, and found out again
    Given 20 nodes of one zone that tell the same capacity, and use from 0 to 90 in 100 of it
    When one of them is late by 0.5 s
    Then it is named to some callers, and to a third of them at most
    When one of them is late by 0.01 s
    Then every caller is named the first 20 of them in their order

  Scenario: A node that is nearly out of memory is named less
    Given 20 nodes of one zone that tell the same capacity, and use from 0 to 90 in 100 of it
    When one of them has 4 MB of memory left
    Then it is named to some callers, and to a third of them at most

  Scenario: Answers are stable, and the same from all that know the same
    Given 32 nodes of one zone and three sizes
    Then a caller gets the same answer from two nodes, and 10 s later
    And every answer has 8 nodes, each of them once

  Scenario: A node of which nothing is known counts as the median of the others
    Given 32 nodes of one zone and three sizes
    When the words of a node of 1.8 cores are lost for 1.5 s
    Then it counts as one of 0.3 cores

  Scenario: Callers of a zone that all come at once are spread
    Given 32 nodes of one zone and three sizes
    When 2000 callers of it ask at the same moment
    Then no node is named to more than 15 in 100 beyond its part, or to fewer than that

  Scenario: Half of a zone's nodes end at once
    Given callers at 0.35 of what all nodes can bear
    When callers call for 10 s
    And half of the nodes of a zone end
    And callers call for 4 s
    Then no request went to an ended node later than 3 s after that
    And no node is late by more than 0.5 s in the last second

  Scenario: A large node of a zone ends
    Given callers at 0.5 of what all nodes can bear
    When callers call for 10 s
    And a node of 1.8 cores ends
    And callers call for 4 s
    Then no request went to an ended node later than 3 s after that
    And no node is late by more than 0.5 s in the last second

  Scenario: A node that comes back is named by degrees
    Given 32 nodes of one zone and three sizes
    When a node of 1.8 cores is heard again after 10 s
    Then it is named to fewer than half as many callers as before
    And 3 s later to as many as before

  Scenario Outline: Reports are lost
    Given callers at 0.6 of what all nodes can bear, and <lost> in 100 reports lost
    When callers call for 30 s
    Then each size of nodes has its part of the work, within <within> in 100

    Examples:
      | lost | within |
      | 5    | 10     |
      | 30   | 15     |

  Scenario: A node whose link carries a tenth of what it says
    Given callers at 0.5 of what all nodes can bear, and a node of 0.6 cores with a slow link
    When callers call for 20 s
    Then that node has at most half of the work that others of its size have

  Scenario: What a node can bear is what the tightest of its processor and its link lets through
    Given a machine of 2.0 cores with a link of 1000000 bytes a second
    When it serves 100 requests of 18800 bytes a second for 30 s with 3 ms each
    Then its capacity is 0.15 cores, within a fifth
    And its own use is all of that

  Scenario: A loop that was late once is in time again soon
    Given a machine of 0.4 cores with a link of 0 bytes a second
    When a beat comes 0.6 s late
    Then it tells that it is late by 0.6 s
    And 1.25 s later by less than 0.1 s

  Scenario: A machine that gets less than its settings tell is found to be full
    Given a machine of 2.0 cores with a link of 0 bytes a second
    When its beats come 0.3 s late for 10 s while it uses 0.7 cores
    Then it tells that it uses all that it has

  Scenario Outline: A node that is later than the others sheds connections, then requests
    Given a node whose last <beats> beats were late by <late> s, and others that are late by <others> s
    Then it <closes> connections and <refuses> requests

    Examples:
      | beats | late | others | closes | refuses |
      | 4     | 0.2  | 0      | keeps  | takes   |
      | 4     | 0.4  | 0      | closes | takes   |
      | 4     | 1.2  | 0.05   | closes | refuses |
      | 1     | 1.2  | 0      | keeps  | takes   |
      | 4     | 1.2  | 0.9    | keeps  | takes   |

  Scenario: A node that sheds takes all again once it is in time
    Given a node whose last 4 beats were late by 1.2 s, and others that are late by 0 s
    When 2 s pass in which it is in time
    Then it keeps connections and takes requests
    And those that it refused come back within 0.1 to 0.4 s

  Scenario: Work that isn't requests goes to nodes that can bear it
    Given 3 zones with 2 nodes of 1800, 6 of 600 and 24 of 300 millicores each
    Then delegates, readers of the store and those who contend for the lead have 600 at least
    And nodes that know the members in another order choose the same ones
    When all nodes of 1800 and 600 millicores end
    Then there are as many delegates, readers and candidates as before

  Scenario: Among machines that are alike, or tell nothing, the choice is what it was
    Given 3 zones with 10 nodes of 500, 10 of 520 and 10 of 0 millicores each
    Then delegates, readers of the store and those who contend for the lead are the first of all by rank

  Scenario: What a machine can bear goes with its record of membership
    Given a member of 387 millicores
    Then its record arrives with that, and that of an older version with 0

  Scenario: What a node tells of itself arrives with its report of load, however long that is
    Given a report on 40 engines of a node with 0.387 cores of which 0.2 are in use
    Then the report that arrives tells the same of the node
    And a report of an older version tells nothing of it
