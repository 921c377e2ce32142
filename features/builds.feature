Feature: Two builds side by side

  During a rolling upgrade nodes of two builds share the store, follow each other's copies of it and
  take turns as the leader. Nodes of earlier builds support neither the store's eras, nor engines
  that announce in their answers that they drain or need a backoff.

  Scenario Outline: A leader of each build makes engines load the published weights
    Given a stand-in platform with 1 desk engines and 2 model engines
    And a store that reports its era
    And a node of this build
    When version 2 of the weights is published
    Then all engines have that version within 8 s
    When a node of build <commit> replaces the other, and version 3 is published
    Then all engines have that version within 8 s
    When a node of this build replaces the other, and version 4 is published
    Then all engines have that version within 8 s, with fences that never decrease

    Examples:
      | commit  |
      | 3943703 |
      | a5c239a |

  Scenario: A node that knows the era of the store does not follow one that reports none
    Given a copy of era 3 with the keys a at 5, b at 9 and c at 12
    Then a node that has it follows no reader that reports no era
    And a node that has none yet does

  Scenario Outline: A short soak with both builds violates no guarantee
    When nodes of this build and of <commit> run seed <seed> for 12 s
    Then it had faults and served requests, and violated no guarantee
    And nodes of both builds were started

    Examples:
      | seed  | commit  |
      | 47300 | 3943703 |
      | 47310 | a5c239a |
