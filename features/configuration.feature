Feature: Operators change the configuration through plans

  Scenario: A plan changes nothing until it is confirmed, then it is in force on every node
    Given a cluster of 1 engines and 3 nodes
    When the operator submits an intent to node 0
      """
      {"tenants": [{"name": "tenant-9", "api_keys": ["key-of-tenant-9"]}]}
      """
    Then the plan contains the line
      """
      + tenants tenant-9: weight 1.0
      """
    And every node is at generation 1
    When the operator confirms an intent on node 1
      """
      {"tenants": [{"name": "tenant-9", "api_keys": ["key-of-tenant-9"]}]}
      """
    Then every node reaches generation 2
    And tenant-9 can send requests to node 2

  Scenario: A node that restarts during an outage gets the configuration from its peers
    Given a cluster of 1 engines and 3 nodes
    When the platform is unavailable for 600 seconds
    And node 0 is killed
    And node 0 is started again
    Then node 0 becomes ready
    And every node is at generation 1
