Feature: A run continues from its copy only under the weights that the copy was made with

  Guards against runs that go on, on older weights, from memory that was made under newer ones.

  Scenario Outline: An engine crashes that has loaded new weights, while copies lie at others
    Given 9 model engines with ids of seed <seed>, and 2 nodes
    When 60 streams run, new weights are named, and an engine crashes 0.3 s after it has loaded them
    Then no run continues from memory of other weights
    And some streams of that engine broke off

    Examples:
      | seed |
      | 3    |
      | 4    |

  Scenario Outline: An engine crashes <when>
    Given 9 model engines with ids of seed 1, and 2 nodes
    When 60 streams run, and an engine crashes <when>
    Then no run continues from memory of other weights
    And all streams are complete

    Examples:
      | when                            |
      | before new weights are named    |
      | after all have loaded new ones  |
