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
