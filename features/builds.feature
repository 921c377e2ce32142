Feature: Two builds side by side

  Machines are replaced one after the other, so that nodes of two builds share the store, follow each
  other's copies of it and take turns at giving orders. Nodes of earlier builds know nothing of the
  store's eras, of engines' words or of rests.

  Scenario Outline: A leader of each build brings engines to the named weights
    Given a stand-in platform with 1 desk engines and 2 model engines
    And a store that tells its era
    And a node of this build
    When version 2 of the weights is named
    Then all engines have that version within 8 s
    When a node of build <commit> takes the place of the other, and version 3 is named
    Then all engines have that version within 8 s
    When a node of this build takes the place of the other, and version 4 is named
    Then all engines have that version within 8 s, by fences that never go back

    Examples:
      | commit  |
      | 3943703 |
      | a5c239a |

  Scenario: A copy of the store is not taken from a node that tells no eras, once they are known
    Given a copy of era 3 with the keys a at 5, b at 9 and c at 12
    Then a node that has it follows no reader that tells no era
    And a node that has none yet does

  Scenario Outline: A short soak with both builds breaks no promise
    When nodes of this build and of <commit> play seed <seed> for 12 s
    Then it had faults and served requests, and broke no promise
    And nodes of both builds were started

    Examples:
      | seed  | commit  |
      | 47300 | 3943703 |
      | 47310 | a5c239a |
