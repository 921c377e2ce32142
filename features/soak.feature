Feature: Randomized soak test over real processes, checked by what callers and engines saw

  Scenario Outline: The check finds each violated guarantee in a history
    Given a history in which <what>
    Then the check finds a violation of "<guarantee>", and none in a correct history

    Examples:
      | what                                      | guarantee                   |
      | a request was begun on two engines        | at most once                |
      | a refused request ran                     | not run means not run       |
      | a caller got another one's answer         | own answer                  |
      | a stream lacks an event                   | events in order             |
      | a stream ends as complete too early       | a complete stream is whole  |
      | a stream has events of two versions       | a stream goes on at one software version |
      | a key was served 6 s after it was revoked | a revoked key is not served |
      | an engine ran a request nobody sent       | nothing unasked             |
      | an engine ran a request for another       | the named engine            |
      | a key was passed on to an engine          | tenant and key              |
      | two nodes ordered with one fence          | one holder of orders        |

  Scenario Outline: The check finds late requests, and excuses only those of impaired nodes
    Given a history with <what>
    Then the check's verdict is <verdict>

    Examples:
      | what                                                                     | verdict                 |
      | a request 2.1 s after its engine left                                    | too late at its engine  |
      | a request that did not run 2.1 s after its engine left                   | too late at its engine  |
      | a request 1.9 s after its engine left                                    | in time                 |
      | the same 9 s after, 2.9 s after its node's impairment                    | in time                 |
      | the same 9 s after, 3.1 s after its node's impairment                    | too late at its engine  |
      | the same 9 s after, during its node's impairment                         | in time                 |
      | the same 9 s after, before its node's impairment                         | too late at its engine  |
      | the same 9 s after, 2.9 s after another node's impairment                | too late at its engine  |
      | the same 9 s after, 2.9 s after the store's impairment                   | in time                 |
      | the same 9 s after, 3.4 s after connections went silent                  | in time                 |
      | the same 9 s after, 3.6 s after connections went silent                  | too late at its engine  |
      | a request on version 1 8.1 s after version 2                             | too late on its weights |
      | a request on version 1 7.9 s after version 2                             | in time                 |
      | a request on version 2 8.1 s after version 2                             | in time                 |
      | a refused request on version 1 8.1 s after version 2                     | in time                 |
      | a resumed run on version 1 8.1 s after version 2                         | in time                 |
      | a request on version 1 12 s after, 7.9 s after its node's impairment     | in time                 |
      | a request on version 1 12 s after, 8.1 s after its node's impairment     | too late on its weights |
      | a request on version 1 12 s after, 7.9 s after another node's impairment | too late on its weights |
      | a request on version 1 12 s after, 7.9 s after connections went silent   | in time                 |

  Scenario Outline: The check finds requests that a stopping node leaves unanswered
    Given a call <sent> s before its node exited, which <what>
    Then the guarantee for stopping nodes is <verdict>

    Examples:
      | sent | what                                         | verdict |
      | 1.0  | got no answer                                | broken  |
      | 0.05 | got no answer                                | kept    |
      | 3.1  | got no answer                                | kept    |
      | 1.0  | was answered                                 | kept    |
      | 1.0  | got no answer, and its caller did not wait   | kept    |
      | 1.0  | got no answer, and the machine was suspended | kept    |

  Scenario Outline: The check finds crash requests that are sent too often, and wrongly quarantined requests
    Given a request on which three engines crashed, <what>
    Then the check of crash requests finds "<violation>"

    Examples:
      | what                                               | violation                       |
      | which was sent 4 times more, 3.1 s after the third | a crash request is sent no more |
      | which was sent 3 times more, 3.1 s after the third | nothing                         |
      | which was sent 4 times more, 2.9 s after the third | nothing                         |
      | and another request is quarantined                 | no other request is quarantined |
      | and the request itself is quarantined              | nothing                         |

  Scenario Outline: The check finds requests sent against an engine's announcement
    Given an engine that made an announcement, and <what>
    Then the check of announcements finds "<violation>"

    Examples:
      | what                                                           | violation                                       |
      | a request 2.1 s after its engine's announcement                | no request after an engine's leave announcement |
      | a request 1.9 s after its engine's announcement                | nothing                                         |
      | a request after an announcement in a lost answer               | nothing                                         |
      | a request 9 s after the announcement, its node killed between  | nothing                                         |
      | a request 9 s after the announcement, its node cut off between | no request after an engine's leave announcement |
      | three requests during a backoff                                | no requests during an engine's backoff          |
      | two requests during a backoff                                  | nothing                                         |
      | three requests during a backoff, its node cut off              | nothing                                         |

  Scenario Outline: The check finds an exceeded limit of an engine, and no other
    Given an engine that announced a limit of 1 request per second, and then got <what>
    Then the check of limits finds the limit <verdict>

    Examples:
      | what                                     | verdict  |
      | 12 requests in 4 s                       | exceeded |
      | 11 requests in 4 s                       | kept     |
      | 12 requests before 3 s are over          | kept     |
      | 12 requests of a node that was not told  | kept     |
      | 12 requests, its node killed between     | kept     |
      | 12 requests, another node killed between | exceeded |

  Scenario Outline: The check finds what callers can tell of an answer whose engine ended
    Given a caller's answer on "<route>" that <what>
    Then the check of answers finds "<violation>"

    Examples:
      | route       | what                                        | violation                           |
      | ends-stream | is whole                                    | nothing                             |
      | ends-stream | breaks off after 7 pieces                   | nothing                             |
      | ends-stream | breaks off inside a piece                   | nothing                             |
      | ends-stream | says whole after 7 pieces                   | an answer that says whole is whole  |
      | ends-stream | says whole before its first piece           | an answer that says whole is whole  |
      | ends-whole  | says whole after 7 pieces                   | an answer that says whole is whole  |
      | ends-stream | says whole inside a piece after all others  | an answer that says whole is whole  |
      | ends-stream | lacks a piece and breaks off                | pieces in order                     |
      | ends-stream | has a piece twice and breaks off            | pieces in order                     |
      | ends-stream | has two pieces out of order and breaks off  | pieces in order                     |
      | ends-stream | holds pieces of two runs                    | pieces of one run                   |
      | ends-safe   | holds pieces of two runs                    | pieces of one run                   |
      | ends-stream | holds another request's pieces              | pieces of one run                   |
      | ends-resume | holds another request's pieces              | pieces of one run                   |
      | ends-resume | breaks off inside a piece and goes on       | nothing                             |
      | ends-resume | goes on with a piece that the caller had    | pieces in order                     |
      | ends-resume | goes on after a piece that the caller lacks | pieces in order                     |
      | ends-resume | goes on and says whole after 7 pieces       | an answer that says whole is whole  |

  Scenario Outline: The check finds what callers can tell of a stream over restarts
    Given a stream over restarts that <what>
    Then the check of restarts finds "<violation>"

    Examples:
      | what                                          | violation                                       |
      | is whole in one answer                        | nothing                                         |
      | goes on after 7 pieces                        | nothing                                         |
      | breaks off inside a piece and goes on         | nothing                                         |
      | is refused with 503 and Retry-After 0.3       | nothing                                         |
      | goes on at another version                    | a stream goes on at one software version        |
      | goes on with a piece that the caller had      | pieces in order                                 |
      | goes on after a piece that the caller lacks   | pieces in order                                 |
      | says whole after 7 pieces                     | a stream that says it is complete is complete   |
      | is refused with 503 and no Retry-After        | a refused resumption has a time to come back    |
      | is refused with 503 and Retry-After 0         | a refused resumption has a time to come back    |
      | is refused with 400 and Retry-After 0.3       | a refused resumption has a time to come back    |

  Scenario Outline: The check finds that too few streams go on after a restart
    Given all nodes back for <seconds> s, as <going_on> of <resumed> resumptions go on, with <engines> engines of their version, and <begun> of 20 new streams begin
    Then the check of restarts finds "<violation>"

    Examples:
      | seconds | going_on | resumed | engines | begun | violation                      |
      | 3.1     | 5        | 12      | 2       | 20    | streams go on after a restart  |
      | 3.1     | 6        | 12      | 2       | 20    | nothing                        |
      | 3.1     | 5        | 12      | 2       | 16    | nothing                        |
      | 3.1     | 0        | 11      | 2       | 20    | nothing                        |
      | 3.1     | 0        | 12      | 1       | 20    | nothing                        |
      | 2.9     | 0        | 12      | 2       | 20    | nothing                        |

  Scenario: A short soak violates no guarantee, and all nodes serve again after it
    When the soak runs seed 1 for 12 s
    Then it had faults and served requests, and violated no guarantee

  Scenario Outline: A seed that once failed violates no guarantee
    When the soak runs seed <seed> for 12 s
    Then it had faults and served requests, and violated no guarantee

    Examples:
      | seed | cause                                                                               |
      | 401  | watches were cut together, and a record that went in the gap had a grace of its own |
      | 2278 | a watch's connection went silent, and the proof by another one hid it               |

  Scenario Outline: Crash requests are quarantined, and no other requests
    When the soak runs seed <seed> for 12 s with requests that crash engines
    Then it had faults and served requests, and violated no guarantee

    Examples:
      | seed  | cause                                                                                    |
      | 36204 | a node that had just started learned of a popular request's losses, not of its successes |
      | 37208 | two engines ended within 50 ms, one by a crash request and one by an injected crash      |

  Scenario: Prompt parts that crash engines are quarantined, and no other requests
    When the soak runs seed 80001 for 12 s with prompt parts that crash engines
    Then it had faults and served requests, and violated no guarantee

  Scenario: A short soak with suspended machines violates no guarantee
    When the soak runs seed 39100 for 12 s with suspended machines
    Then it had faults and served requests, and violated no guarantee

  Scenario: A short soak in which engines announce leaving and pauses violates no guarantee
    When the soak runs seed 46100 for 12 s with engines that announce leaving and pauses
    Then it had faults and served requests, and violated no guarantee
    And engines announced that they leave, and asked for a pause

  Scenario: A short soak in which engines announce limits violates no guarantee
    When the soak runs seed 53000 for 12 s with engines that announce limits
    Then it had faults and served requests, and violated no guarantee

  Scenario: A short soak with cuts between nodes and engines violates no guarantee
    When the soak runs seed 61000 for 12 s with cuts between nodes and engines
    Then it had faults and served requests, and violated no guarantee

  Scenario: A short soak in which the store is restored from older copies violates no guarantee
    When the soak runs seed 47100 for 12 s with a store that is restored from older copies
    Then it had faults and served requests, and violated no guarantee
    And the store was restored at least 2 times

  Scenario: A short soak under heavy load violates no guarantee
    When the soak runs seed 4100 for 14 s under heavy load
    Then it had faults and served requests, and violated no guarantee
    And each condition of heavy load occurred

  Scenario: A short soak with engines of two software versions violates no guarantee
    When the soak runs seed 70001 for 12 s with engines of two software versions
    Then it had faults and served requests, and violated no guarantee
    And callers resumed at least 40 streams, and none holds events of two versions

  Scenario Outline: A short soak in which engines end under answers violates no guarantee
    When the soak runs seed <seed> for <seconds> s with engine processes that end<cuts>
    Then it had faults and served requests, and violated no guarantee
    And engines were killed and left, and callers read 60 whole answers or more

    Examples:
      | seed  | seconds | cuts       |
      | 92003 | 5       | , and cuts |
      | 92014 | 5       |            |

  Scenario Outline: A short soak in which all nodes restart amid releases violates no guarantee
    When the soak runs seed <seed> for <seconds> s with restarts of all nodes
    Then no guarantee was violated
    And all nodes restarted at least <restarts> times, and at least <count> resumed streams went on

    Examples:
      | seed  | seconds | restarts | count |
      | 95100 | 4       | 1        | 8     |
      | 95103 | 4       | 1        | 8     |
