Feature: Request targets reach their engines as callers sent them

  Guards against targets that are parsed and written anew on the way, which loses a `?` that
  nothing follows, and a `#` with what follows it.

  Scenario: Targets reach engines altered
    Given a stand-in platform with 1 desk engines and 1 model engines
    And a node
    When a client sends requests with unusual targets to the first node
    Then each reached an engine with its target as it was sent

  Scenario: Targets that a peer passes on reach engines altered
    Given a stand-in platform with 1 desk engines and 1 model engines
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and sends its requests by the second
    When a client sends requests with unusual targets to the first node
    Then each reached an engine with its target as it was sent
