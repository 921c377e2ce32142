Feature: Engines move between pools for bursts of load

  Scenario: A scheduled burst borrows engines from its lead time until its end
    Given pool credit with 3 engines may borrow 0 from pool overnight with 4 engines
    And a burst of pool credit from 1000 to 2000 with a lead of 100 that asks for 2 engines
    When the time is 850
    Then no order is issued
    When the time is 901 and all orders take effect
    Then pool credit has 5 engines and pool overnight has 2
    When the time is 2001 and all orders take effect
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: A lending pool keeps its minimum number of engines
    Given pool credit with 3 engines may borrow 0 from pool overnight with 4 engines
    And pool overnight keeps at least 3 engines
    And a burst of pool credit from 1000 to 2000 with a lead of 100 that asks for 2 engines
    When the time is 1001 and all orders take effect
    Then pool credit has 4 engines and pool overnight has 3

  Scenario: A pool that stays busy borrows one engine at a time, up to its limit
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When pool credit has a load of 14 requests per engine for 3 seconds
    Then no order is issued
    When pool credit has a load of 14 requests per engine for 60 seconds
    Then pool credit has 5 engines and pool overnight has 2

  Scenario: A short drop in load returns no engines, a long one returns them one at a time
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When pool credit has a load of 14 requests per engine for 60 seconds
    And pool credit has a load of 1 requests per engine for 40 seconds
    Then pool credit has 5 engines and pool overnight has 2
    When pool credit has a load of 1 requests per engine for 200 seconds
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: A load that alternates faster than the busy and idle times moves no engine
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When the load of pool credit alternates between 2 and 9 requests every 4 seconds for 300 seconds
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: An engine lent to a removed pool is returned
    Given pool overnight with 2 engines, of which 1 serves a removed pool
    When its controller decides and all orders take effect
    Then pool overnight has 2 engines

  Scenario: A confirmed burst moves an engine, which then serves the other model
    Given a cluster with 1 engines of chart-llm and 2 engines of spare
    When the operator confirms a burst of chart-llm that is in progress and asks for 1 engine
    Then the plan states that engines of spare are drained
    And chart-llm eventually has 2 engines and spare 1
    When 20 requests are sent through all nodes
    Then every request ran and got its complete and correct response
    And the moved engine ran some of the requests
    When the operator removes the burst
    Then chart-llm eventually has 1 engines and spare 2
