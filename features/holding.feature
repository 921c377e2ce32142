Feature: What a node holds for callers that read or send slowly is bounded

  Scenario: A large body beyond the budget is refused by its declared size, a small one never
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 4 MB is declared
    And a body of 4 MB is declared
    Then a body of 4 MB is refused
    And a body of 32 KB is taken

  Scenario: A body in chunks is refused by what has come of it
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 7 MB is declared
    Then a body in chunks is taken up to 960 KB, and refused from 1088 KB on

  Scenario: Bodies that trickle in give way to others, and new ones do not
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 4 MB is declared
    And 2.5 s later a body of 4 MB is declared
    Then a body of 4 MB is taken
    And the first body was let go, and the second was not

  Scenario: A process that uses much may still hold an eighth of its limit
    Given a budget of 16 MB, of which the process uses 15 MB
    Then 2 MB may be held, and not 3 MB

  Scenario: Beyond their share the oldest unread answer of the most wasteful caller goes
    Given a budget of 22 MB, of which the process uses 3 MB
    When "Ann" leaves 2 MB of an answer unread
    And "Bob" leaves 3 MB of an answer unread
    And "Bob" leaves 2 MB of an answer unread
    Then no answer was ended
    When "Ann" leaves 2 MB of an answer unread
    Then the first answer of "Bob" was ended, and no other

  Scenario: Whatever is held and let go in whatever order, sums are right and end at nothing
    Then in 300 random histories the accounts are the sums of what is held

  Scenario: A budget that is nearly spent is told once, and once that it is well again
    Given a budget of 16 MB, of which the process uses 6 MB
    When a body of 7.5 MB is declared
    And a body of 32 KB is declared
    And all bodies are let go
    Then it was told that the budget is "nearly spent, well again"

  Scenario: A caller that reads in time costs no buffer and no task
    Given a caller that reads in time
    When a stream of 50 events passes
    Then the caller has all events in order
    And no buffer was begun, and the run waited 0 s

  Scenario: A caller that falls behind gets all events in order, and its engine is not kept
    Given a caller that reads 64 KB each 0.02 s
    When a stream of 64 KB in events passes
    Then the engine was done within 0.02 s
    And the caller has all events in order
    And nothing is held

  Scenario: A long answer goes at its caller's speed once the buffer is full
    Given a caller that reads 64 KB each 0.02 s
    When a stream of 640 KB in events passes
    Then the caller has all events in order
    And never more than 130 KB were held
    And the run waited at least 0.1 s

  Scenario Outline: A caller that takes next to nothing loses the rest before its engine cuts it
    Given a caller that <reads>
    When a stream of 640 KB in events passes
    Then the caller was let go after 1.5 to 2 s, as one that is too slow
    And nothing is held

    Examples:
      | reads                     |
      | reads nothing             |
      | reads 1 KB each 1 s       |

  Scenario: Whoever goes while the buffer is full is noticed at once
    Given a caller that reads nothing and goes after 0.2 s
    When a stream of 640 KB in events passes
    Then the caller was found gone within 0.5 s
    And nothing is held

  Scenario: All callers stop reading at once, and the sum stays within the budget's share
    Given 200 callers that read nothing and a budget of 16 MB, of which the process uses 6 MB
    When each is sent a stream of 640 KB in events
    Then all streams were ended, and never more than 4100 KB were held

  Scenario: Time in which a run waits for its caller is no pause of its engine
    Given a run whose caller takes 0.3 s for each event
    When its stream ends well
    Then its longest pause and the time of its slot are under 0.1 s

  Scenario Outline: An engine that cuts an answer which its caller left unread has not failed
    Given a run whose caller takes <wait> s for each event
    When its engine breaks the stream
    Then the engine's breaker has counted <failures> failures

    Examples:
      | wait | failures |
      | 1.2  | 0        |
      | 0.1  | 1        |

  Scenario: An answer that its caller did not take by the deadline is broken off
    Given a run whose caller never takes the end of its answer, with a deadline in 0.3 s
    When its stream ends well
    Then the answer was broken off within 0.4 s, and its engine's slot was free before

  Scenario Outline: A large body is held for as long as it may be sent again, and no longer
    Given a <kind> request with a body of 100 KB
    When its engine has sent the first event and breaks the stream
    Then the body was held at the first event: <held>
    And it was sent <times> times, each time whole

    Examples:
      | kind          | held | times |
      | resumable     | yes  | 2     |
      | not resumable | no   | 1     |

  Scenario: What all nodes sent an engine and it has not answered is known to each
    Given an engine with 3000 KB of bodies by a peer's word
    When a request with a body of 100 KB is at it
    Then it holds 3100 KB, and once that request is answered 3000 KB

  Scenario: A limit that is lowered meanwhile does not end a body under way
    Given a body of 100 KB under way, with a limit of 128 KB
    When the limit becomes 64 KB and the rest comes
    Then the body was read whole
    And another body of 100 KB is too large

  Scenario: A body that does not come is given up at its caller's deadline
    Given a body of 100 KB under way, with a limit of 128 KB
    When nothing more comes for the 0.2 s that its caller waits
    Then it was refused as not run, and nothing is held
