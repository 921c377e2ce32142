Feature: All nodes together enforce the limit of each tenant

  Scenario Outline: A tenant can use its limit and does not exceed the tolerance during faults
    Given a fleet of <nodes> nodes and a tenant with 318000 units a second
    When the tenant requests 0.55 times its rate, and then 4.2 times, while <fault>
    Then no window of 8 s exceeds the tolerance
    And it was served at least <share> of what a single token bucket admits

    Examples:
      | nodes | fault                                        | share |
      | 7     | no fault occurs                              | 0.95  |
      | 79    | no fault occurs                              | 0.95  |
      | 350   | no fault occurs                              | 0.9   |
      | 79    | all callers come to one node                 | 0.95  |
      | 79    | all requests are short                       | 0.95  |
      | 7     | a third of the nodes is isolated             | 0.8   |
      | 79    | a third of the nodes is isolated             | 0.5   |
      | 79    | a third of the nodes is partitioned together | 0.5   |
      | 7     | all nodes restart                            | 0.9   |
      | 79    | all nodes restart                            | 0.9   |
      | 79    | a fifth of the nodes restarts                | 0.9   |
      | 79    | a fifth of the nodes freezes for 4 s         | 0.8   |
      | 79    | one datagram in twenty is lost               | 0.95  |

  Scenario: A tenant can use a small limit although its requests are spread over many nodes
    Given a fleet of 79 nodes and a tenant with 29000 units a second
    When the tenant requests 0.55 times its rate, and then 0.55 times, while no fault occurs
    Then it was served at least 0.98 of what a single token bucket admits

  Scenario Outline: Nodes that do not share buckets exceed the tolerance or admit too little
    Given a fleet of 79 nodes and a tenant with 29000 units a second
    And nodes that <policy>
    When the tenant requests 0.55 times its rate, and then 4.2 times, while no fault occurs
    Then <outcome>

    Examples:
      | policy                                 | outcome                                                        |
      | each admit the whole limit             | some window of 8 s exceeds the tolerance                       |
      | each admit an equal share of the limit | it was served at most 1.5 of what a single token bucket admits |

  Scenario: A limit that is lowered to a tenth is enforced 3 s later
    Given a fleet of 79 nodes and a tenant with 318000 units a second
    When the tenant requests 3 times its rate, and after 6 s its limit is lowered to a tenth
    Then no window of 8 s that starts 3 s later or more exceeds the tolerance

  Scenario: A limit that is raised and lowered within a second grants no second burst
    Given a fleet of 79 nodes and a tenant with 318000 units a second
    When the tenant requests 4.2 times its rate, and its limit is doubled for a second
    Then no window of 8 s exceeds the tolerance

  Scenario: Random sequences of load, partitions, restarts and limit changes stay within the tolerance
    Then in 25 random sequences no window of 8 s exceeds the tolerance

  Scenario: Refused callers get different retry delays that grow with the number of refusals
    Given a fleet of 7 nodes and a tenant with 29000 units a second
    When 40 requests of 9200 units arrive at one node at once
    Then the refused callers get different retry delays between 0 and 30 s
    And the retry delays grow with the number of earlier refusals

  Scenario: A repeated request is charged again, and a refund returns its units
    Given a fleet of 7 nodes and a tenant with 29000 units a second
    When one node admits a request of 10000 units and repeats it once
    Then 9000 units remain at that node
    When both are refunded
    Then 29000 units remain at that node

  Scenario Outline: Requests that engines shed are refunded at all nodes
    Given a fleet of <nodes> nodes and a tenant with 318000 units a second
    And engines shed 0.6 of the admitted requests after 0.1 s
    When the tenant requests 2.4 times its rate, and then 2.4 times, while <fault>
    Then no window of 8 s exceeds the tolerance
    And it was served at least <share> of what a single token bucket admits

    Examples:
      | nodes | fault                              | share |
      | 7     | no fault occurs                    | 0.8   |
      | 79    | no fault occurs                    | 0.8   |
      | 79    | each spending notice arrives twice | 0.8   |
      | 79    | one datagram in twenty is lost     | 0.8   |
      | 79    | a fifth of the nodes restarts      | 0.7   |
      | 79    | all requests are short             | 0.6   |

  Scenario: A refund applies once, and only at nodes that received the notice of its spending
    Given two nodes that share a limit of 100000 units
    When the first node spends 20000 units and the second node receives the notice
    Then the second node has 80000 units left
    When the second node receives the refund 2 times
    Then the second node has 100000 units left
    When the first node spends 20000 units and the second node does not receive the notice
    And the second node receives the notice of another 20000 units spent by a third node
    And the second node receives the refund 1 times
    Then the second node has 80000 units left
    When the first node spends 20000 units and the second node receives the notice
    And the second node receives the refund 2.5 s later
    Then the second node has 60000 units left, plus its refill of 2.5 s

  Scenario: Spending that is refunded before its report is not reported
    Given two nodes that share a limit of 100000 units
    When the first node spends 500 units without a notice
    And the units are refunded
    Then its next report contains no spending

  Scenario: No retry delay exceeds the time for which a caller waits
    Given a fleet of 85 nodes and a tenant with 29000 units a second
    When 40 requests of 9200 units arrive at one node at once from callers that wait for 0.9 s
    Then the refused callers get different retry delays between 0 and 0.9 s

  Scenario: Callers without a retry slot in time do not all retry together
    Given a fleet of 85 nodes and a tenant with 29000 units a second
    And 300000 units were charged unconditionally
    When 40 requests of 9200 units arrive at one node at once from callers that wait for 0.9 s
    Then the refused callers get different retry delays between 0 and 0.9 s
