Feature: A non-repeatable request runs at most once

  Scenario: The same key through two nodes at once
    Given a cluster of 2 engines and 3 nodes
    When 12 non-repeatable requests are each sent through two nodes at once
    Then no key was executed twice
    And every response is correct for its key or reports an unknown outcome
    And every key was executed

  Scenario: The same key again returns the first response through any node, without the store
    Given a cluster of 2 engines and 3 nodes
    And the platform is unavailable for 600 seconds
    When 6 non-repeatable requests are sent
    And the same keys are sent again through another node
    Then no key was executed twice
    And every request ran and got its complete and correct response

  Scenario: The same key again after its node was killed
    Given a cluster of 2 engines and 3 nodes
    When 4 slow non-repeatable requests are sent to node 0, which is killed during them
    And the same keys are sent again through another node
    Then no key was executed twice
    And every response is correct for its key or reports an unknown outcome

  Scenario: The same key again after all nodes were killed and started again
    Given a cluster of 2 engines and 3 nodes
    When 4 non-repeatable requests are sent
    And all nodes are killed and started again
    And the same keys are sent again through another node
    Then no key was executed twice
    And every response is correct for its key or reports an unknown outcome
    When 2 non-repeatable requests with new keys are sent 4 seconds later
    Then every request ran and got its complete and correct response

  Scenario: A member of the claim group is paused while keys are claimed
    Given a cluster of 2 engines and 3 nodes
    When node 2 is paused
    And 4 non-repeatable requests are sent to nodes 0 and 1
    And node 2 is resumed
    And the same keys are sent again through another node
    Then no key was executed twice
    And every response is correct for its key or reports an unknown outcome

  Scenario: Without a majority nothing is executed, and the response reports an unknown outcome
    Given a cluster of 2 engines and 3 nodes
    When node 1 is killed
    And node 2 is killed
    And a non-repeatable request is sent to node 0
    Then the response has status 503, code 3004 and execution unknown
    And no engine executed a request

  Scenario: The same key with another body is refused
    Given a cluster of 1 engines and 3 nodes
    When a non-repeatable request is sent to node 0
    And the same key is sent with another body to node 1
    Then the response has status 422, code 1008 and execution not-run

  Scenario: The claim group changes in two plans and keeps its claims
    Given a cluster of 1 engines and 5 nodes
    When 4 non-repeatable requests are sent
    And the claim group is changed to nodes 2, 3 and 4
    And the same keys are sent again through another node
    And the change of the claim group is completed
    And the same keys are sent again through another node
    Then no key was executed twice
    And every response is correct for its key or reports an unknown outcome
    When 2 non-repeatable requests with new keys are sent 4 seconds later
    Then every request ran and got its complete and correct response
