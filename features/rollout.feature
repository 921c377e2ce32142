Feature: Confirmed weights are loaded without cutting off requests

  Scenario: Engines change weights one at a time while requests run
    Given a cluster of 3 engines and 3 nodes
    When requests are sent while the operator confirms weights 2026-12
    Then every request ran and its answer is whole and its own
    And every engine comes to have weights 2026-12
    When 12 requests are sent over all nodes
    Then every answer was made with weights 2026-12
