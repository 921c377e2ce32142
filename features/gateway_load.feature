Feature: Nodes report their load on engines to each other

  Scenario: A report counts only for engines known when it came, and is later subtracted only from these
    Given an engine table with engine "e1"
    When a peer reports 3 requests on "e1" and 2 on "e2"
    And engine "e2" becomes known
    And the peer reports 1 requests on "e1" and 1 on "e2"
    Then the peers have 1 requests on "e1" and 1 on "e2"
    When the peer reports 0 requests on "e1" and 0 on "e2"
    Then the peers have 0 requests on "e1" and 0 on "e2"

  Scenario: The sum of a zone replaces the reports of its nodes
    Given an engine table with engine "e1"
    When a peer of zone "b" reports 3 requests on "e1"
    And zone "b" is reported to have 5 requests on "e1"
    And a peer of zone "b" reports 4 requests on "e1"
    Then the peers have 5 requests on "e1"
    When 1.5 s pass without a report
    Then the peers have 0 requests on "e1"

  Scenario Outline: Every node learns the whole load, in a bounded number of datagrams
    Given <nodes> nodes in 3 zones, each with one request on each of 4 engines
    When they exchange load reports <rounds> times
    Then every node counts <nodes> requests on each engine
    And no node sent more than <most> datagrams in a round
    And at most <across> datagrams crossed between zones in a round

    Examples:
      | nodes | rounds | most | across |
      | 7     | 1      | 6    | 42     |
      | 60    | 2      | 59   | 6      |
      | 350   | 2      | 350  | 6      |

  Scenario: The load of a large zone is reported in datagrams of at most 1200 bytes
    Given 60 nodes in 3 zones, each with one request on each of 60 engines
    And one of them has saved 60 shared parts in the prefix store, and 40 tenants use quota there
    When they exchange load reports 2 times
    Then every node counts 60 requests on each engine
    And every node knows of 60 saved parts
    And no datagram has more than 1200 bytes
    And no node relays one report to more than 7 others

  Scenario: A report with a lost datagram is ignored, and the next one is applied
    Given a report on 60 engines in several datagrams
    When one of its datagrams is lost
    Then the others result in no report
    And the next report is received whole, whatever the order of its datagrams

  Scenario Outline: A part that one node saved in the prefix store is known to all nodes until it may have expired
    Given <nodes> nodes in 3 zones, each with one request on each of 4 engines
    And one of them has saved a shared part in the prefix store
    When they exchange load reports 2 times
    Then every node knows that the part is saved, and forgets it after 20 s
    And no node reports it any more after 1.1 s

    Examples:
      | nodes |
      | 7     |
      | 60    |

  Scenario: The interval between a node's reports grows with the size of its zone
    Then the interval between a node's reports is 0.1 s in a zone of 3 and 0.26 s in one of 26

  Scenario: The start of a long prefill counts at once, and only once
    Given an engine table with engine "e1"
    When a peer announces at 0.0 s that a prefill of 6000 tokens starts at "e1"
    Then 6000 tokens of peers wait at "e1"
    When a peer's report without that prefill arrives
    Then 6000 tokens of peers wait at "e1"
    When 0.5 s pass without a report
    Then 0 tokens of peers wait at "e1"

  Scenario: A node's reports leave out for a while the prefills that it announced at once
    Given an engine table with engine "e1"
    When this node sends a prompt of 6000 tokens to "e1" at 0.0 s, and announces it
    Then its report at 0.1 s has 1 request and 0 waiting tokens there
    And its report at 0.5 s has 1 request and 6000 waiting tokens there

  Scenario: An engine whose record is missing after an outage is used for less than two seconds more
    Given an engine whose record is missing after an outage of the store
    Then it is used 1.5 s later, and not 1.75 s later
    When its record comes back within 1.5 s
    Then it is still known 5 s later
