Feature: An answer that a peer passes on does not become one that follows HTTP/1.1

  Guards against a peer that makes a sound answer of a malformed one, and against a node that takes
  the part which its peer passed on for a whole answer.

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and sends its requests by the second

  Scenario Outline: A peer passes on damaged chunks: <route>
    When answers on "<route>" have each fault in their chunks
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | route  |
      | whole  |
      | safe   |
      | stream |
      | resume |

  Scenario Outline: A peer passes on a damaged head: <route>
    When answers on "<route>" have each fault in their head
    Then no caller got such an answer

    Examples:
      | route  |
      | whole  |
      | stream |

  Scenario Outline: A repeatable answer that a peer could not pass on is not replaced: <route>, <part>
    When answers on "<route>" have each fault in their <part>
    Then each caller got a whole answer

    Examples:
      | route  | part   |
      | safe   | head   |
      | resume | head   |
      | safe   | chunks |
      | resume | chunks |

  Scenario Outline: A stream ends as complete before its last piece, over a peer: <route>, <rest> ms, <pause> ms
    When answers on "<route>" have the fault "an early last chunk, the rest <rest> ms later, events <pause> ms apart"
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | route  | rest | pause |
      | stream | 100  | 100   |
      | resume | 100  | 100   |
      | resume | 300  | 300   |
      | stream | 300  | 5     |
      | resume | 300  | 5     |

  Scenario: The end of a stream is held back twice, by the peer that passes it on and by the node
    When a sound stream of 6 events, 0.4 s apart, is read
    Then its end comes within 0.2 s after its engine sent it
