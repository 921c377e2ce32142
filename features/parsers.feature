Feature: What comes from outside is parsed or refused, never more

  Scenario Outline: Random <input> are refused with the documented error or accepted
    Then 300 random <input> are parsed or refused as documented

    Examples:
      | input             |
      | gossip datagrams  |
      | caller bodies     |
      | caller headers    |
      | intents           |
      | engine streams    |
      | heads             |

  Scenario: A datagram is accepted from either of two keys, and from no other
    Given a datagram that was signed with the key "new"
    Then a node that accepts "new" and "old" takes it
    And a node that accepts "old" refuses it
    And it is refused when any of its bytes is changed
