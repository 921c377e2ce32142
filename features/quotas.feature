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
