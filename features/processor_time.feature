Feature: A node batches periodic work and messages to save processor time

  Scenario: Loops with different pauses wake at common ticks
    Given loops that pause for 0.1, 0.1, 0.25, 0.28 and 0.4 s
    When they run for 1.2 s
    Then they woke at no more than 13 different times
    And none of them ran less often than its pause and half a tick allow

  Scenario Outline: Messages to peers from one event loop iteration share datagrams
    Given a node with 5 peers
    When it broadcasts <notices> spending notices and <prompts> long prompts in one iteration
    Then each peer gets <datagrams> datagrams
    And each peer receives <notices> spending notices and <prompts> long prompts
    And a peer of an older version receives <notices> spending notices

    Examples:
      | notices   | prompts  | datagrams |
      | 1         | 1        | 1         |
      | 1         | 0        | 1         |
      | 0         | 3        | 1         |
      | 2         | 3        | 2         |

  Scenario: The list of members is rebuilt only after a change
    Given a node with 5 peers
    Then its list of members is unchanged until one of them is dead

  Scenario: A whole fleet that joins at once does not multiply the work of sending it engine state
    Given a node with 85 peers that join in one iteration, and 64 engines with weights
    When it sends them the state of the engines
    Then it collected that state twice and hashed fewer than 2000 node names
    And all weights went to the peers for which it ranks among the first 3

  Scenario: The identity of an engine is created only when its address changes
    Given a node with 64 engines
    Then listing them creates no identities
    And an engine whose record has another address has another identity

  Scenario: A node that just started looks at its engines only for versions that are not recorded
    Given a node with 64 engines, whose only version is recorded
    When it checks whether to record versions
    Then it does not look at each engine
