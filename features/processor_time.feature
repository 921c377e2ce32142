Feature: What a node does seldom or together, since its processor time is paid for

  Scenario: Loops with pauses of their own wake together
    Given loops that pause for 0.1, 0.1, 0.25, 0.28 and 0.4 s
    When they run for 1.2 s
    Then they woke at no more than 13 moments
    And none of them turned less often than its pause and half a tick allow

  Scenario Outline: What peers are told in one turn of the event loop goes in few datagrams
    Given a node with 5 peers
    When it tells of <spendings> spendings and of <readings> long prompts in one turn
    Then each peer gets <datagrams> datagrams
    And each peer learns of <spendings> spendings and of <readings> long prompts
    And a peer of an older version learns of <spendings> spendings

    Examples:
      | spendings | readings | datagrams |
      | 1         | 1        | 1         |
      | 1         | 0        | 1         |
      | 0         | 3        | 1         |
      | 2         | 3        | 2         |

  Scenario: The list of members is new after each change, and only then
    Given a node with 5 peers
    Then its list of members stays the same until one of them is dead
