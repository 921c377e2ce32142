Feature: A node knows in time that its copy of the store grows old

  News of a leaving binds 2 s after the store took it. A node that follows readers which go silent
  one after the other learns of nothing meanwhile, though the store would answer it at once.

  Scenario Outline: A node whose readers go silent one after the other reads the store in time
    Given a node bound to use news within 2 s, whose reader proves its copy every 0.9 s
    And a second reader that <second>
    When the first reader <first> as the node's copy is 0.9 s old
    Then the node's copy is never older than 2 s
    And the node reads the store at most 2 times in the 2.5 s after that

    Examples:
      | first              | second                       |
      | goes silent        | takes connections in silence |
      | goes silent        | takes none                   |
      | ends               | takes connections in silence |
      | ends               | takes none                   |
