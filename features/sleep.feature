# A machine may be suspended for seconds: its steady clock stands meanwhile, and the time since the
# start of the machine goes on. Every age of what a node believes was taken from the steady clock,
# so that a node that had slept took all of it for fresh: it noticed no gap between its beats, asked
# the store nothing, and served by what it had known before.
Feature: Time that a machine slept through

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines

  Scenario: A node that slept sends nothing to engines that left meanwhile
    Given a node whose steady clock stands while it sleeps
    And a request at "/whole/x" is on its way to an engine that takes no connections
    When the node sleeps for 3 s, and at 0.2 s all desk engines leave and 3 clients post to "/whole/x"
    Then no engine that left got a request

  Scenario: A node that slept does not serve a key by an old proof
    Given a node whose steady clock stands while it sleeps
    When the node sleeps for 5.5 s, its key is taken away at 0.2 s, a client posts to "/whole/x" with it, and the store says nothing more
    Then the answer has status 503
