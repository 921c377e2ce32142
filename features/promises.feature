Feature: Each promise holds under its failure, and breaks without its mechanism

  Scenario Outline: <promise> holds when <failure>
    Given a cluster of 3 engines and 3 nodes
    When <failure>
    Then the checker of "<promise>" finds no violation

    Examples:
      | failure                                            | promise                |
      | the same keys go through two nodes at once         | at most once           |
      | the same keys come again after all nodes restarted | at most once           |
      | an engine is killed with requests in flight        | not run means not run  |
      | an engine is killed with requests in flight        | complete streams       |
      | the connections of an engine are cut               | complete streams       |
      | an engine sends chunks of another request          | own answers            |
      | an engine repeats chunks                           | complete streams       |
      | an engine changes its weights unasked              | own answers            |
      | engines crash between choice and arrival           | cache scope            |
      | two tenants send the same prompts                  | cache scope            |
      | the store goes back to an old copy                 | configuration          |
      | two operators confirm at once and answers are lost | configuration          |
      | a node is stopped under load                       | planned stops          |
      | an engine says that it leaves                      | leaving engines        |
      | the machine list says that an engine leaves        | leaving engines        |
      | a node restarts while the platform is out          | restarts               |

  Scenario Outline: without <mechanism>, <promise> breaks when <failure>
    Given a cluster of 3 engines and 3 nodes without <mechanism>
    When <failure>
    Then the checker of "<promise>" finds a violation

    Examples:
      | mechanism          | failure                                            | promise               |
      | claims             | the same keys go through two nodes at once         | at most once          |
      | restart_abstention | the same keys come again after all nodes restarted | at most once          |
      | attempt_ledger     | an engine is killed with requests in flight        | not run means not run |
      | chunk_identity     | an engine sends chunks of another request          | own answers           |
      | stream_index       | an engine repeats chunks                           | complete streams      |
      | preconditions      | an engine changes its weights unasked              | own answers           |
      | preconditions      | engines crash between choice and arrival           | cache scope           |
      | scoped_salt        | two tenants send the same prompts                  | cache scope           |
      | generation_order   | the store goes back to an old copy                 | configuration         |
      | drain              | a node is stopped under load                       | planned stops         |
      | leaving_marks      | an engine says that it leaves                      | leaving engines       |
      | peer_snapshot      | a node restarts while the platform is out          | restarts              |
