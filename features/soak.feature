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

  Scenario Outline: The check finds what comes late, and excuses only what had a reason
    Given a history with <what>
    Then the check finds it <judged>

    Examples:
      | what                                                                   | judged                  |
      | a request 2.1 s after its engine left                                  | too late at its engine  |
      | a request that did not run 2.1 s after its engine left                 | too late at its engine  |
      | a request 1.9 s after its engine left                                  | in time                 |
      | the same 9 s after, 2.9 s after its node's trouble                     | in time                 |
      | the same 9 s after, 3.1 s after its node's trouble                     | too late at its engine  |
      | the same 9 s after, within its node's trouble                          | in time                 |
      | the same 9 s after, before its node's trouble                          | too late at its engine  |
      | the same 9 s after, 2.9 s after another node's trouble                 | too late at its engine  |
      | the same 9 s after, 2.9 s after the store's trouble                    | in time                 |
      | the same 9 s after, 3.4 s after connections went silent                | in time                 |
      | the same 9 s after, 3.6 s after connections went silent                | too late at its engine  |
      | a request on version 1 8.1 s after version 2                           | too late on its weights |
      | a request on version 1 7.9 s after version 2                           | in time                 |
      | a request on version 2 8.1 s after version 2                           | in time                 |
      | a refused one on version 1 8.1 s after version 2                       | in time                 |
      | a run that goes on, on version 1 8.1 s after version 2                 | in time                 |
      | a request on version 1 12 s after, 7.9 s after its node's trouble      | in time                 |
      | a request on version 1 12 s after, 8.1 s after its node's trouble      | too late on its weights |
      | a request on version 1 12 s after, 7.9 s after another node's trouble  | too late on its weights |
      | a request on version 1 12 s after, 7.9 s after connections went silent | in time                 |

  Scenario Outline: The check finds what a node that was told to stop left unanswered
    Given a history with a call <sent> s before its node was gone, which <what>
    Then the check finds the stop <judged>

    Examples:
      | sent | what                                       | judged |
      | 1.0  | got no answer                              | broken |
      | 0.05 | got no answer                              | kept   |
      | 3.1  | got no answer                              | kept   |
      | 1.0  | was answered                               | kept   |
      | 1.0  | got no answer, and its caller did not wait | kept   |
      | 1.0  | got no answer, and the machine slept       | kept   |

  Scenario Outline: The check finds what requests under which engines end do beyond the bound
    Given three engines ended under a request, <what>
    Then the check of such requests finds "<found>"

    Examples:
      | what                                                  | found                                              |
      | which was sent 4 times more, 3.1 s after the third    | a request under which engines end is sent no more  |
      | which was sent 3 times more, 3.1 s after the third    | nothing                                            |
      | which was sent 4 times more, 2.9 s after the third    | nothing                                            |
      | and another request is kept from engines              | no other request is kept from engines              |
      | and the request itself is kept from engines           | nothing                                            |

  Scenario Outline: The check finds what engines get against their word
    Given engines that spoke, and <what>
    Then the check of their words finds "<found>"

    Examples:
      | what                                                   | found                                 |
      | a request 2.1 s after its engine's word                | no request after an engine's word     |
      | a request 1.9 s after its engine's word                | nothing                               |
      | a request after the word of a lost answer              | nothing                               |
      | a request 9 s after the word, its node killed between  | nothing                               |
      | a request 9 s after the word, its node cut off between | no request after an engine's word     |
      | three requests within a rest                           | no requests within an engine's rest   |
      | two requests within a rest                             | nothing                               |
      | three requests within a rest, its node cut off         | nothing                               |

  Scenario Outline: The check misses or invents an engine's limit that is exceeded
    Given an engine that named a limit of 1 a second, and then got <what>
    Then the check of limits finds it <judged>

    Examples:
      | what                                     | judged   |
      | 12 requests in 4 s                       | exceeded |
      | 11 requests in 4 s                       | kept     |
      | 12 requests before 3 s are over          | kept     |
      | 12 requests of a node that was not told  | kept     |
      | 12 requests, its node killed between     | kept     |
      | 12 requests, another node killed between | exceeded |

  Scenario: A short soak breaks no promise, and all nodes serve again after it
    When seed 1 is played for 12 s
    Then it had faults and served requests, and broke no promise

  Scenario Outline: A seed that failed once breaks no promise any more
    When seed <seed> is played for 12 s
    Then it had faults and served requests, and broke no promise

    Examples:
      | seed | cause                                                                               |
      | 401  | watches were cut together, and a record that went in the gap had a grace of its own |
      | 2278 | a watch's connection went silent, and the proof by another one hid it               |

  Scenario Outline: Requests under which engines end are kept from them, and nobody else's
    When seed <seed> is played for 12 s with requests under which engines end
    Then it had faults and served requests, and broke no promise

    Examples:
      | seed  | cause                                                                              |
      | 36204 | a node that had just started heard of a popular request's losses, not of its service |
      | 37208 | two engines ended within 50 ms, one under a deadly request and one of a crash       |

  Scenario: A short soak in which machines sleep breaks no promise
    When seed 39100 is played for 12 s with machines that sleep
    Then it had faults and served requests, and broke no promise

  Scenario: A short soak in which engines speak of themselves breaks no promise
    When seed 46100 is played for 12 s with engines that speak of themselves
    Then it had faults and served requests, and broke no promise
    And engines said that they leave, and asked for rest

  Scenario: Limits of engines are exceeded in a short soak
    When seed 53000 is played for 12 s with engines that name limits
    Then it had faults and served requests, and broke no promise

  Scenario: A short soak in which the store comes back from older copies breaks no promise
    When seed 47100 is played for 12 s with a store that comes back from older copies
    Then it had faults and served requests, and broke no promise
    And the store came back 2 times at least

  Scenario: A short soak under hard load breaks no promise
    When seed 4100 is played for 14 s under hard load
    Then it had faults and served requests, and broke no promise
    And each trouble of hard load came up
