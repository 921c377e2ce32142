Feature: Confirmed weights are loaded without interrupting requests

  Scenario: Engines change weights one at a time while requests run
    Given a cluster of 3 engines and 3 nodes
    When requests are sent while the operator confirms weights 2026-12
    Then every request ran and got its complete and correct response
    And every engine eventually has weights 2026-12
    When 12 requests are sent through all nodes
    Then every response was generated with weights 2026-12
