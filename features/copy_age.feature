Feature: A node reads the store before its copy is too old

  A draining engine must get no requests 2 s after the store acknowledged the change. A node whose
  readers stop responding one after the other gets no changes, although the store would answer it.

  Scenario Outline: A node whose readers stop responding one after the other reads the store in time
    Given a node that must apply changes within 2 s, and whose reader proves its copy every 0.9 s
    And a second reader that <second>
    When the first reader <first> once the node's copy is 0.9 s old
    Then the node's copy is never older than 2 s
    And the node reads the store at most 2 times in the 2.5 s after that

    Examples:
      | first              | second                       |
      | goes silent        | takes connections in silence |
      | goes silent        | takes none                   |
      | ends               | takes connections in silence |
      | ends               | takes none                   |
