Feature: A gateway delivers one opaque request from end to end

  Scenario: An event that arrives in two pieces is passed on whole
    Given a stream whose bytes come as "id: 1\ndata: a" and "\n\n" and "id: 2\ndata: b\n\n"
    When a gateway delivers it
    Then the caller has the bytes "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    And the answer is complete

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
