Feature: A gateway delivers one opaque request from end to end

  Scenario: An event that arrives in two pieces is passed on whole
    Given a stream whose bytes come as "id: 1\ndata: a" and "\n\n" and "id: 2\ndata: b\n\n"
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    And the answer is complete

  Scenario: A complete stream shows how fast its engine sends events
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n" and "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
    When a gateway delivers it
    Then the speed of 2 events is recorded for its engine

  Scenario: A stream that ends within an event is not complete
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\nda"
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\n"
    And the answer is aborted

  Scenario: A request that has not begun when its version's time is over is withdrawn
    Given an engine that begins nothing, on a version that must begin requests within 0.2 s
    When a gateway delivers it
    Then the attempt was closed within 0.4 s
    And the caller was told that the outcome is unknown

  Scenario: A version published while a request waits at its engine limits that wait
    A request is sent to an engine on version 1 while no newer version is published, so its wait
    has no limit. The engine opens the stream and begins nothing, and version 2 is published. Once
    the time for version 1 is over, the engine could still begin the request on the old weights,
    so the attempt is closed and the request goes to an engine on version 2.

    Given a resumable request at an engine on version 1 that opens the stream and begins nothing
    And version 2 is published 0.1 s after the request was sent, and an engine has it
    And a request may begin on a version for 0.2 s after a newer one was published
    When a gateway delivers it
    Then the attempt on version 1 was closed between 0.25 s and 0.5 s after it was sent
    And the complete answer came from the engine on version 2

  Scenario: A version that a node learns of late ends the waits on an older one at once
    Given a stream request at an engine on version 1 that opens the stream and begins nothing
    And version 2, published 0.3 s earlier, becomes known 0.1 s after the request was sent
    And a request may begin on a version for 0.2 s after a newer one was published
    When a gateway delivers it
    Then the attempt on version 1 was closed between 0.05 s and 0.25 s after it was sent
    And the caller was told that the outcome is unknown

  Scenario: A version published just as a wait ends is added
    Given an engine that begins nothing, on a version that must begin requests within 0 s
    And version 3 is published at the moment at which the wait ends
    When a gateway delivers it
    Then version 3 was added without an error
    And the caller was told that the outcome is unknown

  Scenario: A stream that has begun continues when its version's time is over
    Given a stream whose second event comes 0.4 s after the first, from an engine on version 1
    And version 2 is published 0.1 s after the request was sent, and an engine has it
    And a request may begin on a version for 0.1 s after a newer one was published
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    And the answer is complete

  Scenario: A run that continues at its backup has begun, and no newer version limits it
    Given a broken run on version 1, and an engine that has its backup
    When it continues there
    And version 2 is published
    Then its start has no limit
    But a new request sent there may begin for 8 s

  Scenario Outline: A run does not continue from its backup if its engine may have loaded other weights
    Given a broken run on version 1, and an engine that has its backup
    When <what>
    Then it does not continue there

    Examples:
      | what                                     |
      | version 2 is published                   |
      | its engine is announced to load version 2 |
      | its engine is known to have version 2    |

  Scenario Outline: Every attempt is checked against the versions published when it is sent
    Given a resumable request at one of two engines on version 1, which <what> after 0.3 s
    And version 2 is published 0.1 s after the request was sent, and an engine with 3000 waiting tokens has it
    And a request may be sent to a version for 0.1 s after a newer one was published, and begin within 1 s
    When a gateway delivers it
    Then it was sent to engines on versions 1 and 2

    Examples:
      | what                        |
      | refuses it as overloaded    |
      | ends in the stream it began |

  Scenario Outline: A resumed stream goes on at an engine that replaced its own: <reply>, records <records>
    Given a resumed stream whose engine sends <what>, and a second engine of its version
    And the first engine's address replies "<reply>" to a report, and the records of engines are <records>
    When a gateway delivers it
    Then the caller has only what the <served> engine sent
    And the first engine is <use>

    Examples:
      | what      | reply    | records               | served | use    |
      | an event  | same     | not known             | first  | in use |
      | an event  | other    | known                 | second | gone   |
      | no event  | other    | known                 | second | gone   |
      | an event  | possible | known                 | first  | in use |
      | an event  | possible | not known             | second | in use |
      | no event  | possible | not known             | second | in use |
      | an event  | none     | known                 | first  | in use |
      | an event  | none     | replaced as it begins | second | gone   |
      | an event  | none     | not known             | second | in use |
      | an event  | refused  | known                 | second | in use |

  Scenario Outline: A resumed stream is passed on by a peer to an engine that replaced its own
    Given a resumed stream whose engine sends an event, and a second engine of its version
    And the first engine's address replies "same" to a report, and the records of engines are <records>
    Then its response by a peer is <confirmed>, and no engine was asked for a report

    Examples:
      | records     | confirmed     |
      | not known   | not confirmed |
      | known       | confirmed     |

  Scenario: A resumed stream is at an engine that has said that it leaves, and listens no more
    Given a resumed stream whose engine sends an event, and a second engine of its version
    And the first engine's address replies "refused" to a report, and the records of engines are known
    And the first engine leaves as the stream begins
    When a gateway delivers it
    Then the caller has only what the first engine sent

  Scenario: New streams wait for a report of their engine
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And each address is slow to reply to a report
    When a gateway delivers it
    Then the answer is complete
    And no engine was asked for a report

  Scenario: A request is held while its node's state is out of date, and then sent
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And its node's state is current again after 0.05 s
    When a gateway delivers it
    Then it was sent no earlier than after 0.05 s
    And the answer is complete

  Scenario Outline: A stopping node sends a request after <count> refusals as its connection is ready too late
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And two engines of which <count> refuses it, and a node that begins no more requests then
    When a gateway delivers it
    Then it was sent to no engine that could run it, and was refused as the node stops

    Examples:
      | count |
      | 0     |
      | 1     |

  Scenario: No run continues at its backup while its node's state is out of date
    Given a broken run on version 1, and an engine that has its backup
    And its node's state is out of date
    Then it continues there only once the state is current

  Scenario: After a stall a process's state is out of date until it has caught up
    Given a process that ticks every 0.25 s until 10 s, stalls and ticks again at 13 s
    Then at 13.1 s, with updates until 10 s, its state is out of date
    And at 13.1 s, with updates until 13.05 s, its state is current
    But at 15.1 s, with updates until 10 s, its state is used again

  Scenario: An engine with a long queue gets no request that would begin too late
    Given an engine whose version may begin requests for 1 s more, with 30000 waiting tokens
    Then no engine is ready for a request
    When 3000 tokens wait there
    Then the engine is ready for a request

  Scenario: A caller that closes its connection during the answer is not counted as a failure
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And its caller closes the connection before the first event
    When a gateway delivers it
    Then the request is counted with the outcome "caller_gone"
