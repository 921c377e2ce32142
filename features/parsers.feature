Feature: External input is accepted or rejected with the documented error

  Scenario Outline: Random <input> are accepted or rejected with the documented error
    Then 300 random <input> are accepted or rejected with the documented error

    Examples:
      | input               |
      | gossip datagrams    |
      | caller bodies       |
      | caller headers      |
      | intents             |
      | engine streams      |
      | configuration heads |

  Scenario: A datagram is accepted with either of two keys and rejected with any other
    Given a datagram that was signed with the key "new"
    Then a node that accepts "new" and "old" accepts it
    And a node that accepts "old" rejects it
    And it is rejected when any of its bytes is changed
