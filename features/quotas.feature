Feature: A fleet holds each tenant to its limit

  Scenario Outline: Whatever happens, a tenant is served what its limit allows, and no more than the rule does
    Given a fleet of <nodes> nodes and a tenant with 318000 units a second
    When the tenant asks for 0.55 times its rate, and then for 4.2 times, while <trouble>
    Then no window of 8 s has more than the rule allows
    And it was served at least <share> of what one exact bucket would allow

    Examples:
      | nodes | trouble                                    | share |
      | 7     | nothing happens                            | 0.95  |
      | 79    | nothing happens                            | 0.95  |
      | 350   | nothing happens                            | 0.9   |
      | 79    | all callers come to one node               | 0.95  |
      | 79    | all requests are short                     | 0.95  |
      | 7     | a third of the nodes is alone              | 0.8   |
      | 79    | a third of the nodes is alone              | 0.5   |
      | 79    | a third of the nodes is cut off together   | 0.5   |
      | 7     | all nodes restart                          | 0.9   |
      | 79    | all nodes restart                          | 0.9   |
      | 79    | a fifth of the nodes restarts              | 0.9   |
      | 79    | a fifth of the nodes stands still for 4 s  | 0.8   |
      | 79    | one datagram in twenty is lost             | 0.95  |

  Scenario: A tenant with a small limit is not refused for being spread over many nodes
    Given a fleet of 79 nodes and a tenant with 29000 units a second
    When the tenant asks for 0.55 times its rate, and then for 0.55 times, while nothing happens
    Then it was served at least 0.98 of what one exact bucket would allow

  Scenario Outline: What the nodes' own shares, or nodes by themselves, would do instead
    Given a fleet of 79 nodes and a tenant with 29000 units a second
    And nodes that <way>
    When the tenant asks for 0.55 times its rate, and then for 4.2 times, while nothing happens
    Then <outcome>

    Examples:
      | way                            | outcome                                                             |
      | each allow the whole limit     | some window of 8 s has more than the rule allows                    |
      | each allow a share of it       | it was served at most 1.5 of what one exact bucket would allow      |

  Scenario: A limit that is lowered to a tenth holds after one window
    Given a fleet of 79 nodes and a tenant with 318000 units a second
    When the tenant asks for 3 times its rate, and after 6 s its limit is lowered to a tenth
    Then no window of 8 s from then on has more than the rule allows

  Scenario: A limit that is raised and lowered within a second allows no second burst
    Given a fleet of 79 nodes and a tenant with 318000 units a second
    When the tenant asks for 4.2 times its rate, and its limit is doubled for a second
    Then no window of 8 s has more than the rule allows

  Scenario: Any history of callers, cuts, restarts and limits
    Then in 25 histories drawn at random no window of 8 s has more than the rule allows

  Scenario: A refused caller is told when the limit has room, and others are told otherwise
    Given a fleet of 7 nodes and a tenant with 29000 units a second
    When one node is asked for 40 requests of 9200 units at once
    Then the refused ones are told times between 0 and 30 s that are all different
    And they rise with the number of those refused before

  Scenario: A second run counts, and a request that has not run does not
    Given a fleet of 7 nodes and a tenant with 29000 units a second
    When one node is asked for 10000 units and repeats them once
    Then 9000 units are left there
    When both are given back
    Then 29000 units are left there

  Scenario Outline: What engines shed is not charged to the tenant at other nodes
    Given a fleet of <nodes> nodes and a tenant with 318000 units a second
    And engines shed 0.6 of what is let through, 0.1 s after it came
    When the tenant asks for 2.4 times its rate, and then for 2.4 times, while <trouble>
    Then no window of 8 s has more than the rule allows
    And it was served at least <share> of what one exact bucket would allow

    Examples:
      | nodes | trouble                           | share |
      | 7     | nothing happens                   | 0.8   |
      | 79    | nothing happens                   | 0.8   |
      | 79    | what is told at once comes twice  | 0.8   |
      | 79    | one datagram in twenty is lost    | 0.8   |
      | 79    | a fifth of the nodes restarts     | 0.7   |
      | 79    | all requests are short            | 0.6   |

  Scenario: A refund counts once, and only where its spending was heard
    Given two nodes that share a limit of 100000 units
    When the first spends 20000 units and the second hears of it
    Then the second has 80000 units left
    When the second hears the refund 2 times
    Then the second has 100000 units left
    When the first spends 20000 units and the second does not hear of it
    And the second hears of another 20000 units that a third node spends
    And the second hears the refund 1 times
    Then the second has 80000 units left
    When the first spends 20000 units and the second hears of it
    And the second hears the refund 2.5 s later
    Then the second has 60000 units left at most, but for what came meanwhile

  Scenario: What is reported later is reported no more once it has not run
    Given two nodes that share a limit of 100000 units
    When the first spends 500 units, which it reports later
    And they are given back
    Then its report tells of nothing

  Scenario: No refused caller is told to come back later than it waits
    Given a fleet of 85 nodes and a tenant with 29000 units a second
    When one node is asked for 40 requests of 9200 units at once by callers who wait 0.9 s
    Then the refused ones are told times between 0 and 0.9 s that are all different

  Scenario: Callers for whom there is no room in time are not told to come back together
    Given a fleet of 85 nodes and a tenant with 29000 units a second
    And it owes 300000 units
    When one node is asked for 40 requests of 9200 units at once by callers who wait 0.9 s
    Then the refused ones are told times between 0 and 0.9 s that are all different
