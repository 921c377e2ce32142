Feature: A run whose connection is lost is worked on by one engine at a time

  Guards against streams that go on at another engine while the engine before, whose connection
  broke, still works on them.

  Background:
    Given 3 model engines that hold copies of each other's runs, and 2 nodes

  Scenario Outline: An engine loses connections and goes on with the runs
    Given one engine <loses> of one of 4 streams, and goes on
    When 36 streams on "<route>" begin within 2 s
    Then no run was worked on by two engines 0.4 s later
    And at least <complete> of the streams are complete, and the others broke off

    Examples:
      | loses                                 | route  | complete |
      | closes the connection                 | stream | 24       |
      | resets the connection                 | stream | 24       |
      | resets the connection inside an event | stream | 24       |
      | closes the connection                 | resume | 36       |
      | resets the connection                 | resume | 36       |
      | resets the connection inside an event | resume | 36       |

  Scenario Outline: An engine that drops a run with its connection can't be told from one that goes on
    Given one engine resets the connection of one of 4 streams, and drops the run
    When 36 streams on "<route>" begin within 2 s
    Then no run was worked on by two engines 0.4 s later
    And at least <complete> of the streams are complete, and the others broke off

    Examples:
      | route  | complete |
      | stream | 24       |
      | resume | 36       |

  Scenario Outline: An engine crashes, and all its streams go on
    When 36 streams on "<route>" begin within 1.5 s, and an engine crashes <how>
    Then no run was worked on by two engines 0.4 s later
    And at least 36 of the streams are complete, and the others broke off
    And those of the crashed engine went on within 0.15 s

    Examples:
      | route  | how                                             |
      | stream | at once                                         |
      | resume | at once                                         |
      | stream | with its connections reset 0.005 s before its port |

  Scenario: The node that decides stands still while connections are lost
    Given one engine resets the connection of one of 4 streams, and goes on
    When 36 streams on "stream" begin within 2 s, and the nodes stand still for 0.5 s each
    Then no run was worked on by two engines 0.4 s later
    And at least 24 of the streams are complete, and the others broke off

  Scenario: What is known of the engine of each interrupted stream is logged and counted
    Given one engine resets the connection of one of 4 streams, and goes on
    When 12 streams on "stream" begin within 1 s
    Then each interrupted stream is logged and counted with a "running" engine

  Scenario Outline: An engine is cut off from one node, while the other node reaches it
    Given the links of the nodes to engines can be cut
    When 36 streams on "<route>" begin within 1.5 s, and the links of one node to an engine are reset
    Then at least 36 of the streams are complete, and the others broke off
    And each interrupted stream was lost by that node, and its engine is "unreached"

    Examples:
      | route  |
      | stream |
      | resume |
