Feature: What a gateway counts under a tenant's limit, and how large it takes the fleet to be

  Scenario Outline: What a request counts
    Given a limit in <unit>, with <plain> for a request without a prompt
    Then a request <kind> counts <units>

    Examples:
      | unit     | plain | kind                        | units |
      | tokens   | 200   | of 110 + 20 tokens          | 130   |
      | tokens   | 200   | without a prompt            | 200   |
      | requests | 0     | of 110 + 20 tokens          | 1     |
      | requests | 0     | without a prompt            | 1     |

  Scenario: A fleet that restarts whole knows from the store how large it is
    Given a node that leads a fleet of 79
    When it has been so for 4 s
    Then a node that starts takes the fleet for 79 before it knows another
    And 9 s later it still does, and 11 s later it goes by those it knows

  Scenario: Only the leader writes how large the fleet is, and only where that changed
    Given a node of a fleet of 79 that does not lead
    When it has been so for 4 s
    Then nothing is written
    Given a node that leads a fleet of 79
    When it has been so for 4 s
    And one node of it is lost for 20 s
    Then it was written once

  Scenario: A record that says what is known already does not undo that a fleet has shrunk
    Given a node that leads a fleet of 79
    When it has been so for 10 s
    And only 40 of its nodes are left for 60 s, while other records change
    Then the node takes the fleet for 40
    And a node that starts takes the fleet for 40 before it knows another
