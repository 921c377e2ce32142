Feature: A randomized soak over real processes, checked from what callers and engines saw

  Scenario Outline: The check finds each broken promise in a history
    Given a history in which <what>
    Then the check finds "<promise>" broken, and nothing in the history without it

    Examples:
      | what                                      | promise                      |
      | a request was begun on two engines        | at most once                 |
      | a refused request ran                     | not run means not run        |
      | a caller got another one's answer         | own answer                   |
      | a stream lacks an event                   | events in order              |
      | a stream ends as complete too early       | a complete stream is whole   |
      | a key was served 6 s after it was revoked | a revoked key is not served  |
      | an engine ran what nobody sent            | nothing unasked              |
      | an engine ran what was meant for another  | the named engine             |
      | a key was passed on to an engine          | tenant and key               |
      | two nodes ordered with one fence          | one holder of orders         |

  Scenario: A short soak breaks no promise, and all nodes serve again after it
    When seed 1 is played for 12 s
    Then it had faults and served requests, and broke no promise
