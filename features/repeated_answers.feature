Feature: Answers that engines repeat in the place of the next one

  Guards against an answer to one send of a request that is taken for the answer to its next send:
  the caller is then told that a request which runs was not run, or it runs twice.

  Scenario Outline: A repeated refusal is taken for the answer to the next send: <route>, <attempts> attempts
    Given a stand-in platform with 1 desk engines and 0 model engines
    And a model engine that repeats a refusal
    And a node
    And the first node has read routes with <attempts> attempts
    When a client posts to "/<route>/x", and the engine refuses it once its record is up to date
    Then the client got the whole answer of one run, on another connection than the refusal

    Examples:
      | route  | attempts |
      | stream | 2        |
      | stream | 3        |
      | stream | 4        |
      | once   | 2        |
      | safely | 2        |

  Scenario Outline: A refused request is sent again before the engine's record can have changed: <route>
    Given a stand-in platform with 1 desk engines and 0 model engines
    And a model engine that repeats a refusal
    And a node
    And the first node has read routes with 2 attempts
    When a client posts to "/<route>/x", and the engine's record follows its refusal by <delay> s
    Then the client got the whole answer of one run, on another connection than the refusal

    Examples:
      | route  | delay |
      | stream | 0.04  |
      | stream | 0.5   |
      | once   | 0.5   |

  Scenario Outline: A peer takes a repeated refusal for the answer to the next send: <route>
    Given a stand-in platform with 1 desk engines and 0 model engines
    And a model engine that repeats a refusal
    And 2 nodes whose links to engines can be cut
    And the first node reaches no engine, and its peer reaches all
    And the first node has read routes with 2 attempts
    When a client posts to "/<route>/x", and the engine refuses it once its record is up to date
    Then the client got the whole answer of one run, on another connection than the refusal

    Examples:
      | route  |
      | stream |
      | once   |

  Scenario Outline: An answer to a request is taken for the reply to a call that names none: <call>, <status>
    Given an engine that answers a call with <status>, naming a request
    When the node sends it a call for <call>
    Then the call counts as "<outcome>", and its connection is closed

    Examples:
      | call         | status | outcome    |
      | an order     | 200    | unanswered |
      | an order     | 421    | unanswered |
      | an order     | 409    | unanswered |
      | a report     | 200    | none       |
      | its identity | 421    | none       |
      | its identity | 200    | none       |

  Scenario Outline: Answers are taken for those to other sends of their requests: sends <named>
    When 200 drawn sequences of sends are played, <named>, whose answers an engine may repeat
    Then <answers> taken for another send's

    Examples:
      | named         | answers            |
      | with ids      | no answer was      |
      | without ids   | some answers were  |
