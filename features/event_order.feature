Feature: The pieces of a stream reach its caller in order, and those of one run only

  Guards against streams that lack a piece, have one twice, or join two texts, and end as complete.

  Background:
    Given 2 model engines that hold copies of each other's runs, and a node

  Scenario Outline: The ids of an answer go back, and a piece of another text follows
    When a stream on "<route>" is answered with "<runs>"
    Then its caller gets "<got>", and the stream <end>
    And the node counts and logs <spoiled> answers as rejected

    Examples:
      | route  | runs                                          | got                     | end         | spoiled |
      | stream | A1 A2 A3 B1 B2 B3 B4 B5 B6 B7 B8              | A1 A2 A3                | breaks off  | 1       |
      | resume | A1 A2 A3 B1 B2 B3 B4 B5 B6 B7 B8 / A4 A5      | A1 A2 A3 A4 A5          | is complete | 1       |
      | resume | A1+A2+A3+B1+B2+B3+B4+B5+B6 / A4+A5            | A1 A2 A3 A4 A5          | is complete | 1       |
      | resume | A1 A2 A3 B1 B2 B3 B4 / A4 B1 B2 B3 B4 B5      | A1 A2 A3 A4             | breaks off  | 2       |

  Scenario Outline: The ids go back after a resumption, and a piece of another text follows
    When a stream on "<route>" is answered with "<runs>"
    Then its caller gets "<got>", and the stream breaks off
    And the node counts and logs 1 answer as rejected

    Examples:
      | route  | runs                                          | got                     |
      | stream | A1 A2 A3 A4 crash / A5 A6 B4 B5 B6 B7 B8      | A1 A2 A3 A4 A5 A6       |
      | resume | A1 A2 A3 A4 crash / A5 A6 B4 B5 B6 B7 B8      | A1 A2 A3 A4 A5 A6       |
      | resume | A1 A2 A3 A4 lost / A5 A6 B4 B5 B6 B7 B8       | A1 A2 A3 A4 A5 A6       |

  Scenario Outline: A piece without an id, after which the answer is cut, comes twice
    When a stream on "<route>" is answered with "<runs>"
    Then its caller gets "<got>", and the stream is complete
    And the node counts and logs 0 answers as rejected

    Examples:
      | route  | runs                                          | got                     |
      | stream | A1 Ax crash / Ax A2 A3                        | A1 Ax A2 A3             |
      | resume | A1 Ax crash / Ax A2 A3                        | A1 Ax A2 A3             |
      | resume | A1 Ax lost / Ax A2 A3                         | A1 Ax A2 A3             |
      | resume | A1 Ax Ax lost / Ax Ax Ax A2                   | A1 Ax Ax Ax A2          |

  Scenario Outline: A piece without an id of another text follows one of the first
    When a stream on "<route>" is answered with "<runs>"
    Then its caller gets "A1 Ax", and the stream breaks off
    And the node counts and logs 1 answer as rejected

    Examples:
      | route  | runs                                          |
      | stream | A1 Ax crash / Bx B2 B3                        |
      | resume | A1 Ax lost / Bx B2 B3                         |

  Scenario Outline: A resumed run repeats from its first piece, and what follows is of another text
    When a stream on "<route>" is answered with "<runs>"
    Then its caller gets "<got>", and the stream <end>
    And the node counts and logs <spoiled> answers as rejected

    Examples:
      | route  | runs                                          | got                     | end         | spoiled |
      | stream | A1 A2 A3 crash / A1 A2 A3 A4 A5               | A1 A2 A3 A4 A5          | is complete | 0       |
      | resume | A1 A2 A3 crash / A1 A2 A3 A4 A5               | A1 A2 A3 A4 A5          | is complete | 0       |
      | stream | A1 A2 A3 crash / B1 B2 B3 B4 B5               | A1 A2 A3                | breaks off  | 1       |
      | resume | A1 A2 A3 crash / B1 B2 B3 B4 B5               | A1 A2 A3                | breaks off  | 1       |
      | resume | A1 A2 A3 lost / B1 B2 B3 B4 B5                | A1 A2 A3                | breaks off  | 1       |
      | resume | A1 A2 A3 lost / A1 A2                         | A1 A2 A3                | breaks off  | 1       |
