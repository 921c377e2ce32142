Feature: Router, prefix directory and queue without I/O

  Scenario: A retry does not wait for an excluded engine
    Given a router with 2 engines
    When engine 1 is at its concurrency limit
    And a request that was refused by engine 0 is routed
    Then it is routed to engine 1

  Scenario: A stream that has started does not wait in the queue
    Given a router with 1 engines
    When engine 0 is at its concurrency limit
    And a request that started with weights 2026-11 is routed
    Then it is routed to engine 0

  Scenario: A new request waits while all engines are full and is routed when one has a free slot
    Given a router with 2 engines
    When engine 0 is at its concurrency limit
    And engine 1 is at its concurrency limit
    And a new request is routed
    Then it has to wait
    When it is queued and engine 1 gets a free slot
    Then it gets its turn and is routed to engine 1

  Scenario: Nodes without directory entries route the same prefix to the same engine
    Given 5 routers with 9 engines each
    When each routes a request with the same prefix
    Then all choose the same engine

  Scenario: The directory entries of a restarted engine are ignored
    Given a router with 9 engines
    When requests with the same prefix were answered by the first choice
    Then the directory lists the first choice as a holder of the prefix
    When the first choice restarts
    Then the directory lists no holder of the prefix

  Scenario: A gap in cache events expires entries early, a new incarnation drops them
    Given a directory that has listed engine 0 as a holder of a prefix for 6 seconds
    When the events of engine 0 have a gap
    Then the directory does not list engine 0 as a holder
    Given a directory that has listed engine 0 as a holder of a prefix for 0 seconds
    When the events of engine 0 come from a new incarnation
    Then the directory does not list engine 0 as a holder

  Scenario: A home directory aggregates the reports of its nodes
    Given a home directory
    When node a reports a prefix at 2.0 requests a second held by engine 1
    And node b reports the same prefix at 1.0 requests a second
    Then node b is told of 2.0 requests a second at other nodes and of holder engine 1

  Scenario: Two tenants and two weight versions never share a block name
    Then the block names of 2 tenants and 2 weight versions all differ

  Scenario: An engine that is leaving or has other weights gets no requests
    Given a router with 3 engines
    When engine 0 reports that it is leaving
    And engine 1 reports weights 2020-01
    And 20 new requests are routed
    Then all are routed to engine 2

  Scenario: Two simulations with the same seed have the same result
    Then two simulations of 20 seconds with seed 4 are equal
