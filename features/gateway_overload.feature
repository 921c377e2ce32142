Feature: Goodput stays level when the offered load exceeds the prefill rate of the engines

  Scenario Outline: Goodput over offered load
    Given 4 engines that prefill 50000 tokens a second each
    When the offered load is <load> times their capacity for 10 s, and 0.5 times before and after
    Then at least <good> of their capacity in that time was answered within the target
    And of the requests from 3 s after the overload on, at least 0.97 were answered within the target

    Examples:
      | load | good |
      | 0.8  | 0.75 |
      | 1.2  | 0.70 |
      | 2    | 0.75 |
      | 3    | 0.75 |

  Scenario: Without a limit on waiting requests, goodput collapses under overload
    Given 4 engines that prefill 50000 tokens a second each
    And the waiting requests at them are not limited
    When the offered load is 2 times their capacity for 10 s, and 0.5 times before and after
    Then less than 0.5 of their capacity in that time was answered within the target

  Scenario: A short burst is answered late rather than refused
    Given 4 engines that prefill 50000 tokens a second each
    When the offered load is 3 times their capacity for 0.3 s, and 0.5 times before and after
    Then nothing was refused

  Scenario: Small urgent requests are still accepted while others are refused with a retry time
    Given 4 engines that prefill 50000 tokens a second each
    When the offered load is 2 times their capacity for 10 s, and 0.5 times before and after
    Then of the urgent requests at least 0.95 were answered within the target

  Scenario: The prefill rate of engines is estimated from their answers
    Given the prefill rate of engines is unknown
    When 40 prompts of 9000 tokens are each prefilled within 0.18 s
    Then the estimated prefill rate is between 45000 and 51000 tokens a second
    When a prompt of 100 tokens is prefilled within 0.18 s
    Then the estimated prefill rate is between 45000 and 51000 tokens a second

  Scenario: An engine whose memory is full gets no more requests, unless it is idle
    Given 2 engines of which one has its memory full
    Then a prompt goes to the other engine
    When the memory of both is full
    Then the prompt finds no engine with free memory

  Scenario: A prompt goes to an engine with a free slot, though another one holds its shared part
    Given 2 engines with 16 slots, and 20 requests that last 2 s at the one that holds a part
    Then a prompt with that part goes to the other engine
    When the other engine has 40 requests too
    Then a prompt with that part goes to the engine that holds it again

  Scenario: The expected wait for a slot follows from how long other requests held theirs
    Given 2 engines with 16 slots, and 20 requests that last 2 s at the one that holds a part
    Then a request would wait between 0.5 and 0.7 s for a slot there, and 0 s at the other

  Scenario: A stream that ends without an event gives no slot time
    Given the times of a stream without an event, and of one whose first event came at 7 s
    Then at 9 s the first has no slot time, and the second one of 2 s
