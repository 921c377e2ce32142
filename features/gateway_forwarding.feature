Feature: A gateway delivers one opaque request from end to end

  Scenario: An event that arrives in two pieces is passed on whole
    Given a stream whose bytes come as "id: 1\ndata: a" and "\n\n" and "id: 2\ndata: b\n\n"
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    And the answer is complete

  Scenario: The pace of a whole stream's events is known of its engine
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n" and "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
    When a gateway delivers it
    Then it is known how fast 2 events of its engine came

  Scenario: A stream that ends within an event is not complete
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\nda"
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\n"
    And the answer is broken off

  Scenario: A request that has not begun when its engine's weights go out of use is taken back
    Given an engine that begins nothing, whose weights go out of use in 0.2 s
    When a gateway delivers it
    Then the attempt was closed within 0.4 s
    And the caller was told that the outcome is unknown

  Scenario: A version that is named while a request waits at its engine bounds that wait
    A request is sent to an engine on version 1 while nothing newer is named, so nothing bounds
    its wait. The engine opens the stream and begins nothing. Version 2 is named meanwhile. Once
    the time for version 1 is over, the engine may begin the request at any moment, on weights
    that are out of use: it has to be taken back, and goes to an engine that has version 2.

    Given a resumable request at an engine on version 1 that opens the stream and begins nothing
    And version 2 is named 0.1 s after it was sent, and an engine has it
    And a request may begin on a version for 0.2 s after a newer one was named
    When a gateway delivers it
    Then the attempt on version 1 was closed between 0.25 s and 0.5 s after it was sent
    And the answer came whole from the engine on version 2

  Scenario: A version that is heard of late ends at once what waits on an older one
    Given a stream request at an engine on version 1 that opens the stream and begins nothing
    And version 2, which was named 0.3 s earlier, is heard of 0.1 s after it was sent
    And a request may begin on a version for 0.2 s after a newer one was named
    When a gateway delivers it
    Then the attempt on version 1 was closed between 0.05 s and 0.25 s after it was sent
    And the caller was told that the outcome is unknown

  Scenario: A version that is named just as a wait ends is taken in
    Given an engine that begins nothing, whose weights go out of use in 0 s
    And version 3 is named in the moment in which its attempt is given up
    When a gateway delivers it
    Then version 3 was taken in without an error
    And the caller was told that the outcome is unknown

  Scenario: A stream that has begun runs on when its weights go out of use
    Given a stream whose second event comes 0.4 s after the first, from an engine on version 1
    And version 2 is named 0.1 s after it was sent, and an engine has it
    And a request may begin on a version for 0.1 s after a newer one was named
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    And the answer is complete

  Scenario: A run that goes on with its copy has begun, and no newer version bounds it
    Given a run on version 1 that broke, and an engine that has its copy
    When version 2 is named
    Then it goes on there, and nothing bounds when it does
    But a request that was sent there to begin may do so for 8 s

  Scenario Outline: Every attempt is checked against what is named when it is sent
    Given a resumable request at one of two engines on version 1, which <what> after 0.3 s
    And version 2 is named 0.1 s after it was sent, and an engine with 3000 waiting tokens has it
    And a request may be sent to a version for 0.1 s after a newer one was named, and begin in 1 s
    When a gateway delivers it
    Then it was sent to engines on versions 1 and 2

    Examples:
      | what                        |
      | turns it away as overloaded |
      | breaks the stream it began  |

  Scenario: While a node's beliefs do not hold a request is kept, and then sent
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And its node's beliefs hold again after 0.05 s
    When a gateway delivers it
    Then it was sent after 0.05 s at the earliest
    And the answer is complete

  Scenario: While a node's beliefs do not hold no run goes on with its copy
    Given a run on version 1 that broke, and an engine that has its copy
    And its node's beliefs do not hold
    Then it goes on nowhere

  Scenario: What a process believes after a standstill is from before, until it is told what came
    Given a process that beats every 0.25 s until 10 s, stands still and beats again at 13 s
    Then at 13.1 s, with all known until 10 s, what it believes is from before
    And at 13.1 s, with all known until 13.05 s, it is not
    But at 15.1 s, with all known until 10 s, it is used again

  Scenario: An engine with a long queue gets nothing that would begin too late
    Given an engine whose weights may begin requests for 1 s, and 30000 tokens that wait there
    Then no engine is ready for a request
    When 3000 tokens wait there
    Then the engine is ready for a request

  Scenario: A caller that closes its connection while it is answered is no failure of the node
    Given a stream whose bytes come as "id: 1\ndata: a\n\n" and "id: 2\ndata: b\n\n"
    And its caller closes the connection before the first event
    When a gateway delivers it
    Then the request counts as one whose caller is gone
