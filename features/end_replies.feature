Feature: The reply that follows a stream on its connection shows the stream's end

  Scenario Outline: A sound stream is broken off by the form of the reply after it: <reply>
    When an engine sends 4 events, and replies "<reply>" after the end
    Then 2 such streams end as complete after 4 events

    Examples:
      | reply                               |
      | a length                            |
      | a length, byte by byte              |
      | another status                      |
      | an interim response before          |
      | no length, the body later           |
      | no length, the body later, HTTP/1.0 |
      | chunks                              |
      | chunks, an announced trailer field  |
      | chunks, a malformed size            |

  Scenario Outline: A stream ends as complete before its rest, which comes with the reply: <reply>
    When an engine sends 2 events, and replies "<reply>" after the end
    Then 2 such streams are interrupted after 2 events

    Examples:
      | reply                                     |
      | a length, the rest at once                |
      | a length, half of the rest at once        |
      | chunks, the rest at once                  |
      | a status without a body, the rest at once |
      | a length, the rest later                  |

  Scenario: A stream ends as complete before its rest, which is not read as its caller is slow
    When an engine sends an early last chunk as the reader's room is full, and the rest 0.3 s later
    Then the stream is interrupted, though it is read only 3 s later

  Scenario: The connection of a sound stream is lost as its caller is slow
    When an engine sends a stream whose end comes as the reader's room is full
    Then 2 such streams that are read 3 s later end as complete, on 1 connection

  Scenario: An endless reply after a stream is read for as long as a reply is waited for
    When an engine sends 4 events, and replies "chunks without end" after the end
    Then 2 such streams end as complete after 4 events, within 3 s
