Feature: A request that may not be repeated runs at most once

  Scenario: The same key through two nodes at once
    Given a cluster of 2 engines and 3 nodes
    When 12 unrepeatable requests are each sent through two nodes at once
    Then no key was run twice
    And every answer is the key's own, or says that the outcome is unknown
    And every key was run

  Scenario: The same key again returns the first answer, through any node, without the store
    Given a cluster of 2 engines and 3 nodes
    And the platform is out for 600 seconds
    When 6 unrepeatable requests are sent
    And the same keys are sent again through another node
    Then no key was run twice
    And every request ran and its answer is whole and its own

  Scenario: The same key again after its node was killed
    Given a cluster of 2 engines and 3 nodes
    When 4 slow unrepeatable requests are sent to node 0, which is killed meanwhile
    And the same keys are sent again through another node
    Then no key was run twice
    And every answer is the key's own, or says that the outcome is unknown

  Scenario: The same key again after all nodes were killed and started again
    Given a cluster of 2 engines and 3 nodes
    When 4 unrepeatable requests are sent
    And all nodes are killed and started again
    And the same keys are sent again through another node
    Then no key was run twice
    And every answer is the key's own, or says that the outcome is unknown
    When 2 unrepeatable requests with new keys are sent 4 seconds later
    Then every request ran and its answer is whole and its own

  Scenario: A member is paused while keys are claimed
    Given a cluster of 2 engines and 3 nodes
    When node 2 is paused
    And 4 unrepeatable requests are sent to nodes 0 and 1
    And node 2 goes on
    And the same keys are sent again through another node
    Then no key was run twice
    And every answer is the key's own, or says that the outcome is unknown

  Scenario: Without a majority nothing is run, and the answer does not promise that
    Given a cluster of 2 engines and 3 nodes
    When node 1 is killed
    And node 2 is killed
    And an unrepeatable request is sent to node 0
    Then the answer has status 503, code 3004 and execution unknown
    And no engine ran anything

  Scenario: The same key with another body is refused
    Given a cluster of 1 engines and 3 nodes
    When an unrepeatable request is sent to node 0
    And its key is sent with another body to node 1
    Then the answer has status 422, code 1008 and execution not-run

  Scenario: The claim group changes in two plans while keys stay claimed
    Given a cluster of 1 engines and 5 nodes
    When 4 unrepeatable requests are sent
    And the claim group is changed to nodes 2, 3 and 4
    And the same keys are sent again through another node
    And the change of the claim group is completed
    And the same keys are sent again through another node
    Then no key was run twice
    And every answer is the key's own, or says that the outcome is unknown
    When 2 unrepeatable requests with new keys are sent 4 seconds later
    Then every request ran and its answer is whole and its own
