Feature: How requests are charged to a tenant's limit, and how a node estimates the fleet size

  Scenario Outline: The units that a request is charged
    Given a limit in <unit> that charges <plain> for a request without a prompt
    Then a request <kind> is charged <units>

    Examples:
      | unit     | plain | kind                        | units |
      | tokens   | 200   | of 110 + 20 tokens          | 130   |
      | tokens   | 200   | without a prompt            | 200   |
      | requests | 0     | of 110 + 20 tokens          | 1     |
      | requests | 0     | without a prompt            | 1     |

  Scenario: After a restart of the whole fleet, nodes read its size from the store
    Given the leader of a fleet of 79 nodes
    When the fleet keeps its size for 4 s
    Then a starting node assumes a fleet of 79 before it knows another member
    And 9 s later it still does, and 11 s later it counts the members that it knows

  Scenario: Only the leader writes the fleet size, and only when it changed
    Given a node of a fleet of 79 nodes that is not the leader
    When the fleet keeps its size for 4 s
    Then the node wrote no fleet size
    Given the leader of a fleet of 79 nodes
    When the fleet keeps its size for 4 s
    And one of the fleet's nodes is missing for 20 s
    Then the node wrote the fleet size once

  Scenario: Reading an unchanged record does not reset the size of a fleet that has shrunk
    Given the leader of a fleet of 79 nodes
    When the fleet keeps its size for 10 s
    And only 40 of its nodes are alive for 60 s, while other records change
    Then the node assumes a fleet of 40
    And a starting node assumes a fleet of 40 before it knows another member
