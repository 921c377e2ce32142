Feature: An answer that does not follow HTTP/1.1, or does not end, counts as none at every reader

  Guards against a reader that takes a malformed answer of an engine, a peer or a store for its
  word, and against one that reads an answer without an end.

  Scenario Outline: A malformed answer is taken for an answer: <from>, the library's parser in <language>
    Given the readers of answers of <from>
    When each reads every malformed answer, with the parser in <language>
    Then each answer counts as none

    Examples:
      | from                       | language |
      | engines                    | C        |
      | engines                    | Python   |
      | the platform's store       | C        |
      | the platform's store       | Python   |
      | the project's own engines  | C        |
      | the project's own engines  | Python   |
      | the project's own store    | C        |
      | the project's own store    | Python   |
      | peers                      | C        |
      | peers                      | Python   |
      | an operator's node         | C        |
      | an operator's node         | Python   |

  Scenario Outline: An answer without an end is read on and on: <from>
    Given the readers of answers of <from>
    When each reads answers that do not end, with the parser in C
    Then each answer counts as none
    And each connection was closed after at most <megabytes> MB and 1 s
    And the process grew by at most <memory> MB

    Examples:
      | from                       | megabytes | memory |
      | engines                    | 8         | 16     |
      | the platform's store       | 20        | 32     |
      | the project's own engines  | 8         | 16     |
      | the project's own store    | 8         | 16     |
      | peers                      | 8         | 16     |
      | an operator's node         | 8         | 16     |

  Scenario: Malformed answers flood the log of the own interface
    When a node of the own interface meets 1000 malformed answers at once
    Then each was counted, and at most 100 were logged

  Scenario: A call of the own interface is sent twice as its kept connection was closed
    Given a store that closes a kept connection as it takes a call
    When a node of the own interface swaps a value on it
    Then the swap was sent once, and its answer is lost

  Scenario: An answer that nobody asked for is taken for the next one on the own interface
    Given a store that sends an old answer after each of its answers
    When a node of the own interface reads from it twice
    Then both reads return the values that they asked for
