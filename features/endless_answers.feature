Feature: An engine whose answer does not end costs a node little memory and no other request

  Background:
    Given a stand-in platform with 4 desk engines and 2 model engines
    And a node that the platform kills above 150 MB

  Scenario Outline: An endless <what> is cut off
    When <count> engines answer a request to "<path>" with an endless "<what>" beside others
    Then the node uses at most <memory> MB more than before
    And no request at another engine is cut
    And the endless answers were cut off within 1 s
    And their callers get <outcome>

    Examples: bodies
      | what               | path     | count | memory | outcome |
      | body               | /whole/x | 1     | 16     | 502     |
      | body               | /whole/x | 4     | 24     | 502     |
      | body with a length | /whole/x | 1     | 16     | 502     |
      | body in chunks     | /whole/x | 1     | 16     | 502     |
      | body in chunks     | /whole/x | 4     | 24     | 502     |
      | body of a failure  | /whole/x | 1     | 16     | 502     |
      | interim answers    | /whole/x | 1     | 16     | 502     |
      | interim answers    | /whole/x | 4     | 24     | 502     |
      | chunk extension    | /whole/x | 1     | 16     | 502     |

    Examples: what was cut off before
      | what                    | path     | count | memory | outcome |
      | trailers                | /whole/x | 1     | 16     | 502     |
      | header line             | /whole/x | 1     | 16     | 502     |
      | header lines            | /whole/x | 1     | 16     | 502     |
      | bytes that are not HTTP | /whole/x | 1     | 16     | 502     |
      | encoded body            | /whole/x | 1     | 16     | 502     |
      | body of a refusal       | /whole/x | 1     | 16     | success |
      | body of a misdirection  | /whole/x | 1     | 16     | success |

    Examples: framing that is broken in a body, after which nothing follows
      | what                    | path      | count | memory | outcome |
      | broken chunks           | /whole/x  | 1     | 16     | 502     |
      | broken chunks of events | /stream/x | 1     | 16     | 502     |

    Examples: streams
      | what    | path      | count | memory | outcome                |
      | event   | /stream/x | 1     | 16     | an interrupted answer  |
      | event   | /stream/x | 2     | 24     | an interrupted answer  |
      | comment | /stream/x | 1     | 16     | an interrupted answer  |

  Scenario: A cut off answer is logged and counted
    When 1 engines answer a request to "/whole/x" with an endless "body" beside others
    Then the node has logged that a body exceeded 4194304 bytes, and counted 1 such response

  Scenario: Endless events without ids end at the deadline of the request
    When 1 engines answer a request to "/stream/x" with an endless "events without ids" beside others
    Then the node uses at most 16 MB more than before
    And no request at another engine is cut

  Scenario Outline: A complete answer of <size> MB is delivered
    Given desk engines whose answers have <size> MB
    When <count> callers read an answer at <rate> MB a second
    Then each has received the whole answer

    Examples:
      | size | count | rate |
      | 4    | 2     | 100  |
      | 4    | 2     | 2    |
      | 1    | 8     | 100  |

  Scenario Outline: Sound answers are cut off for being incomplete at one node at the same time: <count> of <size> bytes, <framing>
    When <count> callers ask for answers of <size> bytes with <framing>, all of which are incomplete at the same time
    Then each has received the whole answer
    And the node uses at most <memory> MB more than before

    Examples:
      | count | size    | framing          | memory |
      | 120   | 84000   | a length         | 32     |
      | 120   | 84000   | a last chunk     | 32     |
      | 120   | 84000   | their connection | 48     |
      | 16    | 1000000 | a length         | 32     |
      | 16    | 1000000 | a last chunk     | 32     |
      | 16    | 1000000 | their connection | 48     |

  Scenario: A complete answer is delivered although more bytes follow in the same segment
    When a desk engine sends bytes after its answer in the same segment
    Then its caller gets the answer, and the connection is not used again
