Feature: A node is stopped or cut off at random times while engines of another version come

  Fleets of three to six nodes without a network; the times and what is cut are drawn from a seed.

  Scenario Outline: Streams go on at another version at a node that was out of touch: seeds from <seed>
    When <count> fleets play this, with seeds from <seed>
    Then no stream goes on at another version

    Examples:
      | seed | count |
      | 1    | 24    |
      | 401  | 50    |
