Feature: Engines move between pools as bursts come and go

  Scenario: A dated burst borrows engines from its lead time until its end
    Given pool credit with 3 engines may borrow 0 from pool overnight with 4 engines
    And a burst of pool credit from 1000 to 2000 with a lead of 100 that asks for 2 engines
    When the time is 850
    Then nothing is ordered
    When the time is 901 and all orders take effect
    Then pool credit has 5 engines and pool overnight has 2
    When the time is 2001 and all orders take effect
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: A lender keeps its minimum
    Given pool credit with 3 engines may borrow 0 from pool overnight with 4 engines
    And pool overnight keeps at least 3 engines
    And a burst of pool credit from 1000 to 2000 with a lead of 100 that asks for 2 engines
    When the time is 1001 and all orders take effect
    Then pool credit has 4 engines and pool overnight has 3

  Scenario: A pool that stays busy borrows one engine at a time, up to its limit
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When pool credit has a load of 14 requests an engine for 3 seconds
    Then nothing is ordered
    When pool credit has a load of 14 requests an engine for 60 seconds
    Then pool credit has 5 engines and pool overnight has 2

  Scenario: A short dip does not give engines back, a long one does, one at a time
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When pool credit has a load of 14 requests an engine for 60 seconds
    And pool credit has a load of 1 requests an engine for 40 seconds
    Then pool credit has 5 engines and pool overnight has 2
    When pool credit has a load of 1 requests an engine for 200 seconds
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: A load that swings faster than the thresholds moves nothing
    Given pool credit with 3 engines may borrow 2 from pool overnight with 4 engines
    When the load of pool credit swings between 2 and 9 requests every 4 seconds for 300 seconds
    Then pool credit has 3 engines and pool overnight has 4

  Scenario: An engine lent to a pool that was removed comes back
    Given pool overnight with 2 engines, of which 1 serves a pool that is gone
    When its controller decides and all orders take effect
    Then pool overnight has 2 engines

  Scenario: A confirmed burst moves an engine, which then serves the other model
    Given a cluster with 1 engines of chart-llm and 2 engines of spare
    When the operator confirms a burst of chart-llm that is on now and asks for 1 engine
    Then the plan tells that engines of spare are drained
    And chart-llm comes to have 2 engines and spare 1
    When 20 requests are sent over all nodes
    Then every request ran and its answer is whole and its own
    And the moved engine ran some of them
    When the operator removes the burst
    Then chart-llm comes to have 1 engines and spare 2
