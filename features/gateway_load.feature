Feature: Nodes tell each other of their load on engines

  Scenario: A word counts for the engines that were known when it came, and no less later
    Given an engine table with engine "e1"
    When a peer tells of 3 requests on "e1" and 2 on "e2"
    And engine "e2" becomes known
    And the peer tells of 1 requests on "e1" and 1 on "e2"
    Then the peers have 1 requests on "e1" and 1 on "e2"
    When the peer tells of 0 requests on "e1" and 0 on "e2"
    Then the peers have 0 requests on "e1" and 0 on "e2"

  Scenario: The sum of a zone takes the place of the words of its nodes
    Given an engine table with engine "e1"
    When a peer of zone "b" tells of 3 requests on "e1"
    And zone "b" is told to have 5 requests on "e1"
    And a peer of zone "b" tells of 4 requests on "e1"
    Then the peers have 5 requests on "e1"
    When 1.5 s pass without a word
    Then the peers have 0 requests on "e1"

  Scenario Outline: Every node learns the whole load, in a bounded number of datagrams
    Given <nodes> nodes in 3 zones, each with one request on each of 4 engines
    When they tell each other of their load <rounds> times
    Then every node counts <nodes> requests on each engine
    And no node sent more than <most> datagrams in a round
    And at most <across> datagrams crossed between zones in a round

    Examples:
      | nodes | rounds | most | across |
      | 7     | 1      | 6    | 42     |
      | 60    | 2      | 59   | 6      |
      | 350   | 2      | 350  | 6      |

  Scenario: What a large zone has is told in datagrams that are not lost for their size
    Given 60 nodes in 3 zones, each with one request on each of 60 engines
    And one of them has sent 60 shared parts to the kept store, and 40 tenants spend there
    When they tell each other of their load 2 times
    Then every node counts 60 requests on each engine
    And every node knows of 60 kept parts
    And no datagram has more than 1200 bytes
    And no node passes one report on to more than 7 others

  Scenario: A report of which a piece is lost does not count, and the next one does
    Given a report on 60 engines in several datagrams
    When one of them is lost
    Then nothing is taken from the others
    And the whole of the next report is taken, whatever the order of its datagrams

  Scenario Outline: What one node had saved in a kept store is known to all, and no longer than it may last
    Given <nodes> nodes in 3 zones, each with one request on each of 4 engines
    And one of them has sent a shared part to the kept store
    When they tell each other of their load 2 times
    Then every node knows that the part is kept, and forgets it after 20 s
    And nobody tells of it any more after 1.1 s

    Examples:
      | nodes |
      | 7     |
      | 60    |

  Scenario: A node keeps in its share of the words when there are many
    Then the interval of a node's words is 0.1 s in a zone of 3 and 0.26 s in one of 26

  Scenario: The beginning of a long reading counts at once, and once
    Given an engine table with engine "e1"
    When a peer tells at 0.0 s that "e1" is given 6000 tokens to read
    Then 6000 tokens of peers wait at "e1"
    When a peer's word without that reading comes
    Then 6000 tokens of peers wait at "e1"
    When 0.5 s pass without a word
    Then 0 tokens of peers wait at "e1"

  Scenario: A node's words leave out for a while what it told at once
    Given an engine table with engine "e1"
    When this node sends a prompt of 6000 tokens to "e1" at 0.0 s, and tells of it
    Then its word at 0.1 s tells of 1 request and 0 waiting tokens there
    And its word at 0.5 s tells of 1 request and 6000 waiting tokens there

  Scenario: An engine whose record went with an outage is used for less than two seconds more
    Given an engine whose record is missing after an outage of the store
    Then it is used 1.5 s later, and not 1.75 s later
    When its record comes back within 1.5 s
    Then it is still known 5 s later
