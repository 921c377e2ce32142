Feature: The router, with beliefs and queues, without I/O

  Scenario: A retry is not held back for an engine that it may not use
    Given a router with 2 engines
    When engine 1 has no room for more
    And a request that was refused by engine 0 is routed
    Then it goes to engine 1

  Scenario: A stream that has begun does not wait in the queue
    Given a router with 1 engines
    When engine 0 has no room for more
    And a request that was begun with weights 2026-11 is routed
    Then it goes to engine 0

  Scenario: A new request waits while all engines are full, and its turn comes
    Given a router with 2 engines
    When engine 0 has no room for more
    And engine 1 has no room for more
    And a new request is routed
    Then it is told to wait
    When it is queued and engine 1 gets room
    Then its turn comes and it goes to engine 1

  Scenario: Nodes that know nothing send equal prefixes to equal engines
    Given 5 routers with 9 engines each
    When each routes a request with the same prefix
    Then all choose the same engine

  Scenario: An engine that restarted is not believed to hold anything
    Given a router with 9 engines
    When requests with the same prefix were answered by the first choice
    Then the first choice is believed to hold the prefix
    When the first choice restarts
    Then no engine is believed to hold the prefix

  Scenario: A gap in cache events makes beliefs lapse early, a new incarnation drops them
    Given a directory that believes engine 0 to hold a prefix since 6 seconds
    When its events have a gap
    Then it is not believed to hold the prefix
    Given a directory that believes engine 0 to hold a prefix since 0 seconds
    When its events come from a new incarnation
    Then it is not believed to hold the prefix

  Scenario: A home adds up what its nodes tell it
    Given a home directory
    When node a reports a prefix at 2.0 requests a second held by engine 1
    And node b reports the same prefix at 1.0 requests a second
    Then node b is told of 2.0 requests a second elsewhere and of engine 1

  Scenario: Two tenants and two weight versions never share a block name
    Then the block names of 2 tenants and 2 weight versions all differ

  Scenario: An engine out of its listed pool, leaving, or at other weights gets nothing
    Given a router with 3 engines
    When engine 0 says that it leaves
    And engine 1 says that it has weights 2020-01
    And 20 new requests are routed
    Then all go to engine 2

  Scenario: The simulation gives the same history for the same seed
    Then two simulations of 20 seconds with seed 4 are equal
