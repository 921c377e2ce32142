Feature: Each guarantee holds under its failure, and is violated without its mechanism

  Scenario Outline: <promise> holds when <failure>
    Given a cluster of 3 engines and 3 nodes
    When <failure>
    Then the checker of "<promise>" finds no violation

    Examples:
      | failure                                                | promise               |
      | the same keys are sent through two nodes at once       | at most once          |
      | the same keys are sent again after all nodes restarted | at most once          |
      | an engine is killed with requests in flight            | not run means not run |
      | an engine is killed with requests in flight            | complete streams      |
      | the streams of all engines are cut                     | complete streams      |
      | engines send chunks of other requests                  | own answers           |
      | engines repeat chunks                                  | complete streams      |
      | engines change their weights without an order          | own answers           |
      | engines crash between routing and arrival              | cache scope           |
      | two tenants send the same prompts                      | cache scope           |
      | the store is restored from an old copy                 | configuration         |
      | two operators confirm at once and responses are lost   | configuration         |
      | a node is stopped under load                           | planned stops         |
      | an engine reports that it is leaving                   | leaving engines       |
      | the machine list marks an engine as leaving            | leaving engines       |
      | a node restarts while the platform is unavailable      | restarts              |

  Scenario Outline: Without <mechanism>, <promise> is violated when <failure>
    Given a cluster of 3 engines and 3 nodes without <mechanism>
    When <failure>
    Then the checker of "<promise>" finds a violation

    Examples:
      | mechanism          | failure                                                | promise               |
      | claims             | the same keys are sent through two nodes at once       | at most once          |
      | restart_abstention | the same keys are sent again after all nodes restarted | at most once          |
      | attempt_ledger     | an engine is killed with requests in flight            | not run means not run |
      | chunk_identity     | engines send chunks of other requests                  | own answers           |
      | stream_index       | engines repeat chunks                                  | complete streams      |
      | preconditions      | engines change their weights without an order          | own answers           |
      | preconditions      | engines crash between routing and arrival              | cache scope           |
      | scoped_salt        | two tenants send the same prompts                      | cache scope           |
      | generation_order   | the store is restored from an old copy                 | configuration         |
      | drain              | a node is stopped under load                           | planned stops         |
      | leaving_marks      | an engine reports that it is leaving                   | leaving engines       |
      | peer_snapshot      | a node restarts while the platform is unavailable      | restarts              |
