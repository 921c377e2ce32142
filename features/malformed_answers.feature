Feature: An answer that does not follow HTTP/1.1 is not passed on as an engine's

  Guards against streams and bodies that end as complete before their last piece, and against heads
  that callers get though they are none.

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node

  Scenario: Nothing tells which answers were malformed
    When answers on "stream" have each fault in their chunks
    Then each of them is logged with its engine, and counted

  Scenario Outline: A stream ends as complete before its last piece, in chunks: <route>, <fault>
    When answers on "<route>" have the fault "<fault>"
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | route  | fault                                |
      | stream | an early last chunk                  |
      | resume | an early last chunk                  |
      | stream | an early last chunk and half a chunk |
      | stream | a chunk size of zeros                |
      | resume | a chunk size of zeros                |
      | stream | an early last chunk, the rest 1 ms later  |
      | resume | an early last chunk, the rest 1 ms later  |
      | stream | an early last chunk, the rest 5 ms later  |
      | resume | an early last chunk, the rest 5 ms later  |
      | stream | an early last chunk, the rest 50 ms later |
      | resume | an early last chunk, the rest 50 ms later |
      | stream | an early last chunk, the rest 100 ms later, events 100 ms apart   |
      | resume | an early last chunk, the rest 100 ms later, events 100 ms apart   |
      | stream | an early last chunk, the rest 300 ms later, events 300 ms apart   |
      | resume | an early last chunk, the rest 300 ms later, events 300 ms apart   |
      | stream | an early last chunk, the rest 1000 ms later, events 1000 ms apart |
      | resume | an early last chunk, the rest 1000 ms later, events 1000 ms apart |
      | stream | an early last chunk, the rest 300 ms later, events 5 ms apart     |
      | resume | an early last chunk, the rest 300 ms later, events 5 ms apart     |
      | stream | an early last chunk, the rest 1500 ms later, events 5 ms apart    |
      | resume | an early last chunk, the rest 1500 ms later, events 5 ms apart    |

  Scenario Outline: A stream ends as complete as its engine closes after an early last chunk: <pause> ms
    When answers on "resume" have the fault "an early last chunk, closed <pause> ms later"
    Then each caller got a whole answer

    Examples:
      | pause |
      | 0     |
      | 20    |
      | 50    |
      | 500   |

  Scenario Outline: An engine whose last chunks come early is believed again and again: <route>, <pause> ms
    When <count> answers on "<route>" have the fault "an early last chunk, the rest <pause> ms later"
    Then at most <wrong> of them look whole

    Examples:
      | route  | pause | count | wrong |
      | whole  | 20    | 8     | 1     |
      | whole  | 300   | 8     | 1     |
      | whole  | 1500  | 6     | 1     |
      | safe   | 20    | 8     | 1     |
      | stream | 300   | 8     | 0     |

  Scenario Outline: Sound streams are broken off as their engine closes its connections after them: <route>, <pause> s
    When 16 sound streams on "<route>" are read at once, and their engines close <pause> s after each
    Then all callers got whole streams

    Examples:
      | route  | pause |
      | stream | 0     |
      | stream | 0.02  |
      | resume | 0.02  |
      | stream | 0.1   |
      | resume | 0.1   |

  Scenario: Each resumable stream runs twice at engines that close their connections after sound ends
    When 16 sound streams on "resume" are read at once, and their engines close 0.02 s after each
    And 16 more are read at once
    Then all callers got whole streams
    And at most 20 of 32 streams ran more than once

  Scenario Outline: A resumed run ends as complete before its last piece, in chunks: <pause> ms
    When the answers to resumed runs have the fault "an early last chunk, the rest <pause> ms later, events <pause> ms apart"
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | pause |
      | 100   |
      | 300   |

  Scenario Outline: Damaged chunks are passed on: <route>
    When answers on "<route>" have each fault in their chunks
    Then no caller got a success that looks whole and is not, or other bytes

    Examples:
      | route  |
      | whole  |
      | stream |

  Scenario Outline: A repeatable answer with damaged chunks is not replaced by a whole one: <route>
    When answers on "<route>" have each fault in their chunks
    Then each caller got a whole answer

    Examples:
      | route  |
      | safe   |
      | resume |

  Scenario Outline: A damaged head is passed on: <route>
    When answers on "<route>" have each fault in their head
    Then no caller got such an answer

    Examples:
      | route  |
      | whole  |
      | stream |

  Scenario Outline: An answer with a damaged head is not replaced by a whole one: <route>
    When answers on "<route>" have each fault in their head
    Then each caller got a whole answer

    Examples:
      | route  |
      | safe   |
      | resume |

  Scenario Outline: A sound answer is rejected for its unusual form: <route>
    When answers on "<route>" are unusual, and sound
    Then each caller got a whole answer

    Examples:
      | route  |
      | whole  |
      | stream |

  Scenario: An engine's own answer is taken for the refusal of a proxy, and its request runs twice
    When the desk engines name the outcome of a proxy in their answers
    Then no request on "/whole/x" reaches an engine twice, of 12

  Scenario: A slot of a brittle engine stays occupied while the end of a stream is held back
    When the end of a stream that occupies a slot has arrived, and is held back
    Then its slot is free

  Scenario: The end of a sound stream is held back though its engine replied after it
    When a sound stream of 4 events, 0.4 s apart, is read
    Then its end comes within 0.2 s after its engine sent it

  Scenario: The end of a sound stream is held back until its caller's deadline is over
    When a sound stream of 4 events, 0.4 s apart, is read by a caller that has 2 s
    Then its end comes within 0.4 s after its engine sent it
