Feature: Bounded memory for callers that read or send slowly

  Scenario: A large body beyond the budget is refused by its declared size; a small one never is
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 4 MB is declared
    And a body of 4 MB is declared
    Then a body of 4 MB is refused
    And a body of 32 KB is accepted

  Scenario: A chunked body is refused by the bytes received so far
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 7 MB is declared
    Then a chunked body is accepted up to 960 KB, and refused from 1088 KB on

  Scenario: Slow bodies are evicted for others, and new ones are not
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 4 MB is declared
    And 2.5 s later a body of 4 MB is declared
    Then a body of 4 MB is accepted
    And the first body was evicted, and the second was not

  Scenario: A process that uses much memory may still hold an eighth of its limit
    Given a budget of 16 MB, of which the process uses 15 MB
    Then 2 MB may be held, and not 3 MB

  Scenario: When answers exceed their share, the oldest one of the heaviest caller is evicted
    Given a budget of 22 MB, of which the process uses 3 MB
    When "Ann" leaves 2 MB of an answer unread
    And "Bob" leaves 3 MB of an answer unread
    And "Bob" leaves 2 MB of an answer unread
    Then no answer was evicted
    When "Ann" leaves 2 MB of an answer unread
    Then the first answer of "Bob" was evicted, and no other

  Scenario: The sums of reservations are right in any order, and end at zero
    Then in 300 random histories the sums match the reservations

  Scenario: A nearly full budget is reported once, and its recovery once
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 7.5 MB is declared
    And a body of 32 KB is declared
    And all bodies are released
    Then it was reported that the budget is "nearly full, not nearly full"

  Scenario: A caller that keeps up needs no buffer and no task
    Given a caller that keeps up
    When a stream of 50 events passes
    Then the caller has all events in order
    And no buffer was used, and the run waited 0 s

  Scenario: A caller that falls behind gets all events in order, and does not delay its engine
    Given a caller that reads 64 KB each 0.02 s
    When a stream of 64 KB in events passes
    Then the engine finished within 0.02 s
    And the caller has all events in order
    And nothing is held

  Scenario: A long answer is sent at its caller's speed once the buffer is full
    Given a caller that reads 64 KB each 0.02 s
    When a stream of 640 KB in events passes
    Then the caller has all events in order
    And never more than 130 KB were held
    And the run waited at least 0.1 s

  Scenario Outline: A caller that reads almost nothing is disconnected before its engine cuts the stream
    Given a caller that <reads>
    When a stream of 640 KB in events passes
    Then the caller was disconnected after 1.5 to 2 s as too slow
    And nothing is held

    Examples:
      | reads                     |
      | reads nothing             |
      | reads 1 KB each 1 s       |

  Scenario: A disconnect while the buffer is full is noticed at once
    Given a caller that reads nothing and disconnects after 0.2 s
    When a stream of 640 KB in events passes
    Then the disconnect was noticed within 0.5 s
    And nothing is held

  Scenario: When all callers stop reading, the buffers stay within their share of the budget
    Given 200 callers that read nothing and a budget of 16 MB, of which the process uses 6 MB
    When each is sent a stream of 640 KB in events
    Then all streams were aborted, and never more than 4100 KB were held

  Scenario: Time spent waiting for the caller is not counted as a pause of the engine
    Given a run whose caller needs 0.3 s for each event
    When its stream completes
    Then its longest pause and the time of its slot are under 0.1 s

  Scenario Outline: An engine that cuts an answer because of a slow caller has not failed
    Given a run whose caller needs <wait> s for each event
    When its engine interrupts the stream
    Then the engine's breaker has counted <failures> failures

    Examples:
      | wait | failures |
      | 1.2  | 0        |
      | 0.1  | 1        |

  Scenario Outline: An engine whose events are out of order has failed, however slow the caller is
    Given a run whose caller needs <wait> s for each event
    When its engine sends an event again
    Then the engine's breaker has counted 1 failure

    Examples:
      | wait |
      | 1.2  |
      | 0.1  |

  Scenario: An answer that its caller has not read by the deadline is aborted
    Given a run whose caller never reads the end of its answer, with a deadline in 0.3 s
    When its stream completes
    Then the answer was aborted within 0.4 s, and its engine's slot was free before that

  Scenario Outline: A large body is held only while it may be sent again
    Given a <kind> request with a body of 100 KB
    When its engine interrupts the stream after the first event
    Then the body was held at the first event: <held>
    And it was sent <times> times, each time in full

    Examples:
      | kind          | held | times |
      | resumable     | yes  | 2     |
      | not resumable | no   | 1     |

  Scenario: Each node knows the bytes of bodies that all nodes have at an engine
    Given an engine with 3000 KB of bodies reported by a peer
    When a request with a body of 100 KB is sent to it
    Then it holds 3100 KB, and once that request is answered 3000 KB

  Scenario: A lowered limit does not apply to a body that is being received
    Given a body of 100 KB that is being received, with a limit of 128 KB
    When the limit becomes 64 KB and the rest arrives
    Then the body was read in full
    And another body of 100 KB is too large

  Scenario: A body that stops arriving is refused at its caller's deadline
    Given a body of 100 KB that is being received, with a limit of 128 KB
    When nothing more arrives for the 0.2 s that its caller waits
    Then it was refused as not executed, and nothing is held
